package org.cyclamenstall.standin.load;

/**
 * A request of an arrival plan. Immutable.
 *
 * @param sequence the position in the plan, from 0
 * @param atNanos the intended send time, in nanoseconds since the start of the measured
 * part; negative during warm-up
 * @param requestClass the request class
 * @param account the name of the account that sends the request
 * @param balancerSample a random number from 0 to 1 by which the balancer selects the
 * daemon
 * @param tokens the length of the response, in tokens
 */
public record Arrival(int sequence, long atNanos, Deployment.RequestClass requestClass, String account,
		double balancerSample, int tokens) {

	private static final double NANOS_PER_SECOND = 1e9;

	double atSecond() {
		return this.atNanos / NANOS_PER_SECOND;
	}

	boolean isMeasured() {
		return this.atNanos >= 0;
	}

}
