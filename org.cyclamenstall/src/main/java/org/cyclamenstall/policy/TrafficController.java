package org.cyclamenstall.policy;

import org.cyclamenstall.kernel.Service;

/**
 * Decides on each request: whether it is admitted, when it runs and on which upstream.
 * Thread-safe; no method blocks.
 */
public interface TrafficController extends Service {

	/**
	 * Offers a request. The listener is called exactly once with a grant or a refusal,
	 * perhaps before this method returns, on any thread, and never under a lock of the
	 * controller.
	 * @param facts what is known of the request
	 * @param listener is told of the decision
	 * @return the ticket of the request
	 */
	Ticket submit(RequestFacts facts, GrantListener listener);

	/**
	 * Refuses every later request with {@code SHUTTING_DOWN}; queued ones are served.
	 */
	void drain();

	/**
	 * Returns the number of tickets that are not finished.
	 * @return the count
	 */
	int unfinished();

}
