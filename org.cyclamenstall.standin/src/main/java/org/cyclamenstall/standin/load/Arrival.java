package org.cyclamenstall.standin.load;

/**
 * Holds one request of a plan. Immutable.
 *
 * @param sequence its number in the plan
 * @param atNanos when it is to be sent, in nanoseconds since the start of the measured
 * part; negative while warming up
 * @param requestClass its class
 * @param account the account that sends it
 * @param balancerDraw a number from 0 to 1 that chooses the daemon
 * @param tokens the length of its answer, in tokens
 */
public record Arrival(int sequence, long atNanos, Deployment.RequestClass requestClass, String account,
		double balancerDraw, int tokens) {

	private static final double NANOS_PER_SECOND = 1e9;

	double atSecond() {
		return this.atNanos / NANOS_PER_SECOND;
	}

	boolean isMeasured() {
		return this.atNanos >= 0;
	}

}
