package org.cyclamenstall.settings;

import jakarta.validation.constraints.DecimalMax;
import jakarta.validation.constraints.DecimalMin;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;

/**
 * Names the policies of a daemon and holds their bounds. Immutable.
 *
 * @param scheduling the order of waiting requests: {@code tiers} or {@code fifo}
 * @param upstreamChoice the choice of an upstream: {@code expected-latency} or
 * {@code round-robin}
 * @param window the bound on concurrent requests at an upstream: {@code adaptive} or
 * {@code fixed}
 * @param limits the fleet-wide limits: {@code shared} by demand or {@code even}
 * @param hedging the second attempts: {@code budget} or {@code none}
 * @param preemption the taking back of slots: {@code resumable} or {@code none}
 * @param slotsPerUpstream the concurrent requests that one upstream takes from all
 * daemons until it reports its own number
 * @param retryShare the retries and hedges allowed, as a share of first attempts
 * @param maximumAttempts the largest number of attempts of one request
 * @param queueLength the largest number of waiting requests in each tier
 * @param connectMillis the longest time to connect to an upstream, in milliseconds
 * @param firstByteMillis the longest wait for the first byte of a plain service, in
 * milliseconds
 * @param tokenGapMillis the longest pause within an answer, in milliseconds
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

	/** Holds the default of every component. */
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
	 * Fills in the defaults.
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
