package org.cyclamenstall.settings;

import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;

/**
 * Settings of the platform's key-value store. Immutable.
 *
 * @param adapter the name of the protocol adapter
 * @param address the IP address of the store
 * @param port the TCP port of the store
 * @param prefix the prefix of all keys of this deployment
 * @param timeoutMillis the maximum time to wait for a response, in milliseconds
 * @param callsPerSecond the maximum number of calls per second of this daemon
 */
public record StoreSettings(@NotNull @Pattern(regexp = "consul") String adapter,
		@NotNull @Pattern(regexp = DaemonSettings.IP_ADDRESS) String address,
		@NotNull @Min(1) @Max(65_535) Integer port,
		@NotNull @Pattern(regexp = "[A-Za-z0-9][A-Za-z0-9/_-]{0,62}") String prefix,
		@NotNull @Min(10) @Max(60_000) Integer timeoutMillis, @NotNull @Min(1) @Max(10_000) Integer callsPerSecond) {

	private static final int DEFAULT_TIMEOUT_MILLIS = 1_000;

	private static final int DEFAULT_CALLS_PER_SECOND = 100;

	/**
	 * Replaces components that are {@code null} by their defaults.
	 */
	public StoreSettings {
		adapter = (adapter != null) ? adapter : "consul";
		prefix = (prefix != null) ? prefix : "cyclamenstall";
		timeoutMillis = (timeoutMillis != null) ? timeoutMillis : Integer.valueOf(DEFAULT_TIMEOUT_MILLIS);
		callsPerSecond = (callsPerSecond != null) ? callsPerSecond : Integer.valueOf(DEFAULT_CALLS_PER_SECOND);
	}

}
