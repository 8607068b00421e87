package org.cyclamenstall.settings;

import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;

/**
 * Settings of the caller port. Immutable.
 *
 * @param address the IP address to listen on
 * @param port the TCP port, or 0 for any free port
 * @param maximumBodyBytes the maximum size of a request body, in bytes
 * @param maximumHeaderBytes the maximum size of the request headers, in bytes
 * @param maximumConnections the maximum number of open connections
 * @param requestReadSeconds the maximum time to receive the headers of a request, and
 * then again to receive its body, in seconds
 * @param idleSeconds the maximum time that a connection may be idle between requests, in
 * seconds
 */
public record CallerSettings(@NotNull @Pattern(regexp = DaemonSettings.IP_ADDRESS) String address,
		@NotNull @Min(0) @Max(65_535) Integer port, @NotNull @Min(1_024) @Max(67_108_864) Integer maximumBodyBytes,
		@NotNull @Min(1_024) @Max(1_048_576) Integer maximumHeaderBytes,
		@NotNull @Min(1) @Max(1_000_000) Integer maximumConnections,
		@NotNull @Min(1) @Max(3_600) Integer requestReadSeconds, @NotNull @Min(1) @Max(3_600) Integer idleSeconds) {

	private static final int DEFAULT_BODY_BYTES = 1_048_576;

	private static final int DEFAULT_HEADER_BYTES = 16_384;

	private static final int DEFAULT_CONNECTIONS = 10_000;

	private static final int DEFAULT_REQUEST_READ_SECONDS = 10;

	private static final int DEFAULT_IDLE_SECONDS = 60;

	/**
	 * Replaces components that are {@code null} by their defaults.
	 */
	public CallerSettings {
		maximumBodyBytes = (maximumBodyBytes != null) ? maximumBodyBytes : Integer.valueOf(DEFAULT_BODY_BYTES);
		maximumHeaderBytes = (maximumHeaderBytes != null) ? maximumHeaderBytes : Integer.valueOf(DEFAULT_HEADER_BYTES);
		maximumConnections = (maximumConnections != null) ? maximumConnections : Integer.valueOf(DEFAULT_CONNECTIONS);
		requestReadSeconds = (requestReadSeconds != null) ? requestReadSeconds
				: Integer.valueOf(DEFAULT_REQUEST_READ_SECONDS);
		idleSeconds = (idleSeconds != null) ? idleSeconds : Integer.valueOf(DEFAULT_IDLE_SECONDS);
	}

}
