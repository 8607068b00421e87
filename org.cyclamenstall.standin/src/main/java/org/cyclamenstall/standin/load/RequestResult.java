package org.cyclamenstall.standin.load;

import java.util.Arrays;

/**
 * Holds what the caller of one request saw. Times are in nanoseconds since the intended
 * time of sending. Immutable; the array must not be changed.
 *
 * @param arrival the request
 * @param end how it ended
 * @param errorKind the error kind; empty without an error
 * @param sentNanos the time of sending
 * @param firstNanos the time of the first token, or of the whole answer of a plain
 * service; -1 if none came
 * @param endNanos the time of the end
 * @param tokenNanos the time of each token
 */
record RequestResult(Arrival arrival, RequestEnd end, String errorKind, long sentNanos, long firstNanos, long endNanos,
		long[] tokenNanos) {

	private static final double NANOS_PER_SECOND = 1e9;

	boolean isWhole() {
		return this.end == RequestEnd.WHOLE;
	}

	boolean isAttained() {
		return isWhole() && this.firstNanos <= (long) (this.arrival.requestClass().targetSeconds() * NANOS_PER_SECOND);
	}

	long tokensBetween(double fromSecond, double toSecond) {
		long from = (long) (fromSecond * NANOS_PER_SECOND) - this.arrival.atNanos();
		long until = (long) (toSecond * NANOS_PER_SECOND) - this.arrival.atNanos();
		return Arrays.stream(this.tokenNanos).filter((nanos) -> nanos >= from && nanos < until).count();
	}

}
