package org.cyclamenstall.settings;

import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;

/**
 * Address of another daemon. Immutable.
 *
 * @param host the name of its host
 * @param address its IP address
 * @param port its peer port
 */
public record PeerAddress(@NotNull @Pattern(regexp = DaemonSettings.NAME) String host,
		@NotNull @Pattern(regexp = DaemonSettings.IP_ADDRESS) String address,
		@NotNull @Min(1) @Max(65_535) Integer port) {

}
