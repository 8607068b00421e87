package org.cyclamenstall.settings;

import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;

/**
 * Settings of the platform's host list. Immutable.
 *
 * @param adapter the name of the protocol adapter
 * @param address the IP address of the service
 * @param port the TCP port of the service
 * @param daemonService the service name under which the platform lists the daemons
 * @param pollMillis the interval between two reads, in milliseconds
 * @param timeoutMillis the maximum time to wait for a response, in milliseconds
 */
public record HostListSettings(@NotNull @Pattern(regexp = "consul") String adapter,
		@NotNull @Pattern(regexp = DaemonSettings.IP_ADDRESS) String address,
		@NotNull @Min(1) @Max(65_535) Integer port,
		@NotNull @Pattern(regexp = DaemonSettings.NAME) String daemonService,
		@NotNull @Min(50) @Max(60_000) Integer pollMillis, @NotNull @Min(10) @Max(60_000) Integer timeoutMillis) {

	private static final int DEFAULT_POLL_MILLIS = 1_000;

	private static final int DEFAULT_TIMEOUT_MILLIS = 1_000;

	/**
	 * Replaces components that are {@code null} by their defaults.
	 */
	public HostListSettings {
		adapter = (adapter != null) ? adapter : "consul";
		daemonService = (daemonService != null) ? daemonService : "cyclamenstall";
		pollMillis = (pollMillis != null) ? pollMillis : Integer.valueOf(DEFAULT_POLL_MILLIS);
		timeoutMillis = (timeoutMillis != null) ? timeoutMillis : Integer.valueOf(DEFAULT_TIMEOUT_MILLIS);
	}

}
