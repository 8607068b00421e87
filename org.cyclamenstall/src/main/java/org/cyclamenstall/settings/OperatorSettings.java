package org.cyclamenstall.settings;

import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Holds the settings of the operators' port. Immutable.
 *
 * @param address the IP number to listen on
 * @param port the TCP port; 0 takes a free one
 * @param tokenFile the file that holds the operators' token; required unless the address
 * is a loopback one
 */
public record OperatorSettings(@NotNull @Pattern(regexp = DaemonSettings.IP_NUMBER) String address,
		@NotNull @Min(0) @Max(65_535) Integer port, @Nullable String tokenFile) {

}
