package org.cyclamenstall.settings;

import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;

/**
 * Holds the address of another daemon. Immutable.
 *
 * @param host the name of its host
 * @param address its IP number
 * @param port its TCP port for peers
 */
public record PeerAddress(@NotNull @Pattern(regexp = DaemonSettings.NAME) String host,
		@NotNull @Pattern(regexp = DaemonSettings.IP_NUMBER) String address,
		@NotNull @Min(1) @Max(65_535) Integer port) {

}
