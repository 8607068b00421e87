package org.cyclamenstall.settings;

import jakarta.validation.constraints.DecimalMax;
import jakarta.validation.constraints.DecimalMin;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;

/**
 * Traffic policies of a daemon and their limits. Immutable.
 *
 * @param scheduling the order of queued requests: {@code tiers} or {@code fifo}
 * @param upstreamChoice the selection of an upstream: {@code expected-latency} or
 * {@code round-robin}
 * @param window the limit on concurrent requests to an upstream: {@code adaptive} or
 * {@code fixed}
 * @param limits the division of fleet-wide limits among the daemons: {@code shared} by
 * demand or {@code even}
 * @param hedging the hedging of requests: {@code budget} or {@code none}
 * @param preemption the preemption of requests in flight: {@code resumable} or
 * {@code none}
 * @param slotsPerUpstream the number of concurrent requests that an upstream accepts from
 * all daemons, used until the upstream reports its own number
 * @param retryShare the maximum number of retries and hedges, as a share of first
 * attempts; retries after a refusal or a preemption are not limited by it
 * @param maximumAttempts the maximum number of attempts of a request, including hedges;
 * attempts that were refused or preempted do not count
 * @param queueLength the maximum number of queued requests in each tier
 * @param connectMillis the timeout for connecting to an upstream, in milliseconds
 * @param firstByteMillis the timeout for the first byte of a response, in milliseconds;
 * not used for buffered responses of models
 * @param tokenGapMillis the maximum time between two reads of a response, in milliseconds
 */
public record PolicySettings(@NotNull @Pattern(regexp = "tiers|fifo") String scheduling,
		@NotNull @Pattern(regexp = "expected-latency|round-robin") String upstreamChoice,
		@NotNull @Pattern(regexp = "adaptive|fixed") String window,
		@NotNull @Pattern(regexp = "shared|even") String limits,
		@NotNull @Pattern(regexp = "budget|none") String hedging,
		@NotNull @Pattern(regexp = "resumable|none") String preemption,
		@NotNull @Min(1) @Max(10_000) Integer slotsPerUpstream,
		@NotNull @DecimalMin("0") @DecimalMax("0.2") Double retryShare,
		@NotNull @Min(1) @Max(10) Integer maximumAttempts, @NotNull @Min(1) @Max(1_000_000) Integer queueLength,
		@NotNull @Min(10) @Max(60_000) Integer connectMillis, @NotNull @Min(10) @Max(3_600_000) Integer firstByteMillis,
		@NotNull @Min(10) @Max(3_600_000) Integer tokenGapMillis) {

	/** The default settings. */
	public static final PolicySettings DEFAULTS = new PolicySettings(null, null, null, null, null, null, null, null,
			null, null, null, null, null);

	private static final int DEFAULT_SLOTS = 8;

	private static final double DEFAULT_RETRY_SHARE = 0.1;

	private static final int DEFAULT_ATTEMPTS = 3;

	private static final int DEFAULT_QUEUE_LENGTH = 1_000;

	private static final int DEFAULT_CONNECT_MILLIS = 1_000;

	private static final int DEFAULT_FIRST_BYTE_MILLIS = 10_000;

	private static final int DEFAULT_TOKEN_GAP_MILLIS = 5_000;

	/**
	 * Replaces components that are {@code null} by their defaults.
	 */
	public PolicySettings {
		scheduling = (scheduling != null) ? scheduling : "tiers";
		upstreamChoice = (upstreamChoice != null) ? upstreamChoice : "expected-latency";
		window = (window != null) ? window : "adaptive";
		limits = (limits != null) ? limits : "shared";
		hedging = (hedging != null) ? hedging : "budget";
		preemption = (preemption != null) ? preemption : "resumable";
		slotsPerUpstream = (slotsPerUpstream != null) ? slotsPerUpstream : Integer.valueOf(DEFAULT_SLOTS);
		retryShare = (retryShare != null) ? retryShare : Double.valueOf(DEFAULT_RETRY_SHARE);
		maximumAttempts = (maximumAttempts != null) ? maximumAttempts : Integer.valueOf(DEFAULT_ATTEMPTS);
		queueLength = (queueLength != null) ? queueLength : Integer.valueOf(DEFAULT_QUEUE_LENGTH);
		connectMillis = (connectMillis != null) ? connectMillis : Integer.valueOf(DEFAULT_CONNECT_MILLIS);
		firstByteMillis = (firstByteMillis != null) ? firstByteMillis : Integer.valueOf(DEFAULT_FIRST_BYTE_MILLIS);
		tokenGapMillis = (tokenGapMillis != null) ? tokenGapMillis : Integer.valueOf(DEFAULT_TOKEN_GAP_MILLIS);
	}

}
