package org.cyclamenstall.settings;

import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Settings of the operator port. Immutable.
 *
 * @param address the IP address to listen on
 * @param port the TCP port, or 0 for any free port
 * @param tokenFile the file that contains the operator token; required unless the address
 * is a loopback address
 */
public record OperatorSettings(@NotNull @Pattern(regexp = DaemonSettings.IP_ADDRESS) String address,
		@NotNull @Min(0) @Max(65_535) Integer port, @Nullable String tokenFile) {

}
