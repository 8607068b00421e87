package org.cyclamenstall.standin.load;

import java.util.Arrays;

/**
 * The result of one request as seen by its caller. Times are in nanoseconds since the
 * intended send time. Immutable; the array must not be changed.
 *
 * @param arrival the request
 * @param outcome the outcome
 * @param errorKind the error kind; empty if there was no error
 * @param sentNanos the actual send time; after refused connections, that of the last try
 * @param firstNanos the time of the first token, or of the complete response of a plain
 * service; -1 if there was none
 * @param endNanos the time at which the request ended
 * @param tokenNanos the time of each token
 */
record RequestResult(Arrival arrival, RequestOutcome outcome, String errorKind, long sentNanos, long firstNanos,
		long endNanos, long[] tokenNanos) {

	private static final double NANOS_PER_SECOND = 1e9;

	boolean isComplete() {
		return this.outcome == RequestOutcome.WHOLE;
	}

	boolean meetsTarget() {
		return isComplete()
				&& this.firstNanos <= (long) (this.arrival.requestClass().targetSeconds() * NANOS_PER_SECOND);
	}

	long tokensBetween(double fromSecond, double toSecond) {
		long fromNanos = (long) (fromSecond * NANOS_PER_SECOND) - this.arrival.atNanos();
		long toNanos = (long) (toSecond * NANOS_PER_SECOND) - this.arrival.atNanos();
		return Arrays.stream(this.tokenNanos).filter((nanos) -> nanos >= fromNanos && nanos < toNanos).count();
	}

}
