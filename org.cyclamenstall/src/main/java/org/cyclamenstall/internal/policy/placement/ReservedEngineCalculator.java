package org.cyclamenstall.internal.policy.placement;

import org.cyclamenstall.policy.RequestAttributes;

/**
 * Computes how many engines of a service to reserve for latency-sensitive streams, in
 * proportion to their share of the recent work, which is counted in engine time. A fixed
 * number of engines would be too small for one kind of request when load peaks alternate
 * between long prompts and many short streams within seconds. Each daemon sees a sample
 * of the same traffic, so all reserve similar numbers without coordination. Not
 * thread-safe.
 */
final class ReservedEngineCalculator {

	private static final double HALF_LIFE_NANOS = 2e9;

	/** Assumed latency-sensitive share of work in the absence of traffic. */
	private static final double PRIOR_SHARE = 1.0 / 3;

	/** Amount of recent work that has the same weight as {@link #PRIOR_SHARE}. */
	private static final double PRIOR_NANOS = 600e6;

	/**
	 * Minimum share of engines to reserve, so that the next burst of streams finds
	 * capacity.
	 */
	private static final double MINIMUM_RESERVED_SHARE = 1.0 / 3;

	/**
	 * Engines to reserve for each one that the running streams fill, so that the next
	 * ones find free slots.
	 */
	private static final double OCCUPIED_ENGINES_FACTOR = 1.3;

	/** Maximum share of engines to reserve because of running streams. */
	private static final double MAXIMUM_OCCUPIED_SHARE = 0.8;

	/**
	 * Minimum difference between the target and the current number of reserved engines at
	 * which the number changes.
	 */
	private static final double HYSTERESIS_ENGINES = 0.65;

	private double latencySensitiveNanos;

	private double otherNanos;

	private long updatedAtNanos;

	/**
	 * Records a new request.
	 * @param attributes the request attributes
	 * @param work the engine time that it takes, in nanoseconds
	 * @param nowNanos the time on the monotonic clock
	 */
	void recordRequest(RequestAttributes attributes, double work, long nowNanos) {
		decay(nowNanos);
		if (EnginePartition.isLatencySensitive(attributes)) {
			this.latencySensitiveNanos += work;
		}
		else {
			this.otherNanos += work;
		}
	}

	/**
	 * Returns how many engines to reserve.
	 * @param engineCount the number of engines that accept new requests
	 * @param currentCount the number of engines reserved now
	 * @param occupiedEngines the number of engines that the running latency-sensitive
	 * streams fill
	 * @param nowNanos the time on the monotonic clock
	 * @return the number of engines to reserve
	 */
	int reservedEngineCount(int engineCount, int currentCount, double occupiedEngines, long nowNanos) {
		if (engineCount < 2) {
			return 0;
		}
		decay(nowNanos);
		double share = (this.latencySensitiveNanos + PRIOR_NANOS * PRIOR_SHARE)
				/ (this.latencySensitiveNanos + this.otherNanos + PRIOR_NANOS);
		double minimum = Math.max(1, Math.round(Math.max(engineCount * MINIMUM_RESERVED_SHARE,
				Math.min(engineCount * MAXIMUM_OCCUPIED_SHARE, occupiedEngines * OCCUPIED_ENGINES_FACTOR))));
		double target = Math.max(minimum, Math.min(engineCount - 1, share * engineCount));
		boolean keepCurrent = currentCount >= minimum && currentCount < engineCount
				&& Math.abs(target - currentCount) < HYSTERESIS_ENGINES;
		return keepCurrent ? currentCount : (int) Math.round(target);
	}

	private void decay(long nowNanos) {
		double decayFactor = Math.pow(0.5, (nowNanos - this.updatedAtNanos) / HALF_LIFE_NANOS);
		this.latencySensitiveNanos *= decayFactor;
		this.otherNanos *= decayFactor;
		this.updatedAtNanos = nowNanos;
	}

}
