package org.cyclamenstall.internal.policy.quarantine;

import java.time.Duration;
import java.util.Collection;
import java.util.Collections;
import java.util.Set;

/**
 * State of a quarantined prompt part. After its duration a single request at a time is
 * admitted as a probe; its result ends or repeats the quarantine. Parts that were blamed
 * together, because the same crashes suggest each of them, are companions: a request with
 * only one of them is admitted as a probe at once. Not thread-safe.
 */
final class QuarantinedPart {

	private static final Duration BASE_DURATION = Duration.ofMinutes(2);

	private static final Duration MAXIMUM_DURATION = Duration.ofHours(1);

	private static final int MAXIMUM_DOUBLINGS = 6;

	/** Time after which a probe without a result is repeated. */
	private static final long PROBE_TIMEOUT_NANOS = Duration.ofSeconds(10).toNanos();

	/** Time without requests after the duration, after which the part is forgotten. */
	private static final long FORGET_NANOS = Duration.ofMinutes(30).toNanos();

	private final long startedAtNanos;

	private final long durationNanos;

	private final long probeDelayNanos;

	private final int repetitions;

	private final Set<Long> companions;

	private boolean probed;

	private long probedAtNanos;

	/**
	 * Creates the state.
	 * @param startedAtNanos the start of the quarantine on the monotonic clock
	 * @param durationNanos the duration, in nanoseconds
	 * @param probeDelayNanos the time between the end of the duration and the first
	 * probe, different on each daemon
	 * @param repetitions the number of earlier quarantines
	 * @param companions the keys of the parts that were blamed together with this one
	 */
	QuarantinedPart(long startedAtNanos, long durationNanos, long probeDelayNanos, int repetitions,
			Set<Long> companions) {
		this.startedAtNanos = startedAtNanos;
		this.durationNanos = durationNanos;
		this.probeDelayNanos = probeDelayNanos;
		this.repetitions = repetitions;
		this.companions = companions;
	}

	/**
	 * Returns the duration of a quarantine, which doubles with each repetition.
	 * @param repetitions the number of earlier quarantines
	 * @return the duration in nanoseconds
	 */
	static long durationNanos(int repetitions) {
		return Math.min(MAXIMUM_DURATION.toNanos(),
				BASE_DURATION.toNanos() << Math.min(MAXIMUM_DOUBLINGS, repetitions));
	}

	/**
	 * Returns whether a request may be sent as a probe: the quarantine has ended or the
	 * request has none of the companions, and no probe is in progress.
	 * @param promptParts the keys of the parts of the request
	 * @param nowNanos the time on the monotonic clock
	 * @return {@code true} if it may be sent
	 */
	boolean admitsProbe(Collection<Long> promptParts, long nowNanos) {
		boolean ended = remainingNanos(nowNanos) + this.probeDelayNanos <= 0;
		boolean separates = !this.companions.isEmpty() && Collections.disjoint(this.companions, promptParts);
		return (ended || separates) && !(this.probed && nowNanos - this.probedAtNanos < PROBE_TIMEOUT_NANOS);
	}

	void startProbe(long nowNanos) {
		this.probed = true;
		this.probedAtNanos = nowNanos;
	}

	boolean isProbed() {
		return this.probed;
	}

	/**
	 * Returns the remaining duration, negative after its end.
	 * @param nowNanos the time on the monotonic clock
	 * @return the time in nanoseconds
	 */
	long remainingNanos(long nowNanos) {
		return this.startedAtNanos + this.durationNanos - nowNanos;
	}

	boolean isForgotten(long nowNanos) {
		return remainingNanos(nowNanos) < -FORGET_NANOS;
	}

	long startedAtNanos() {
		return this.startedAtNanos;
	}

	long ageMillis(long nowNanos) {
		return Math.max(0, Duration.ofNanos(nowNanos - this.startedAtNanos).toMillis());
	}

	int repetitions() {
		return this.repetitions;
	}

	QuarantineVerdict verdict(long part, long nowNanos) {
		return new QuarantineVerdict(part, ageMillis(nowNanos), Duration.ofNanos(this.durationNanos).toMillis(),
				this.repetitions);
	}

}
