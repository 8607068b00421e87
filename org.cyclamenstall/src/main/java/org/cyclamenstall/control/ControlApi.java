package org.cyclamenstall.control;

import java.time.Duration;

/**
 * Calls to the platform that only the leader of the fleet makes. Each call carries the
 * fencing token of the leader; the platform refuses one that is lower than a token it has
 * seen. The methods block until a response was received or the timeout has passed, and do
 * not throw for a missing one. Thread-safe.
 */
public interface ControlApi {

	/**
	 * Reports the usage of one window. An exact repetition has no effect.
	 * @param report the report
	 * @param token the fencing token of the leader
	 * @param timeout the timeout of the call
	 * @return the result
	 */
	ControlResult reportUsage(UsageReport report, long token, Duration timeout);

	/**
	 * Orders a number of upstreams. A repetition has no effect.
	 * @param order the order
	 * @param token the fencing token of the leader
	 * @param timeout the timeout of the call
	 * @return the result
	 */
	ControlResult orderUpstreams(UpstreamOrder order, long token, Duration timeout);

}
