package org.cyclamenstall.settings;

import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;

/**
 * Holds the settings of the callers' port. Immutable.
 *
 * @param address the IP number to listen on
 * @param port the TCP port; 0 takes a free one
 * @param maximumBodyBytes the largest request body, in bytes
 * @param maximumHeaderBytes the largest request head, in bytes
 * @param maximumConnections the largest number of open connections
 * @param requestReadSeconds the longest time to receive a whole request, in seconds
 * @param idleSeconds the longest pause of a kept-alive connection, in seconds
 */
public record CallerSettings(@NotNull @Pattern(regexp = DaemonSettings.IP_NUMBER) String address,
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
	 * Fills in the defaults.
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
