package org.cyclamenstall.policy;

import org.cyclamenstall.kernel.Service;

/**
 * Controls admission, scheduling and upstream selection of requests. Thread-safe; no
 * method blocks.
 */
public interface TrafficController extends Service {

	/**
	 * Submits a request. The listener is called exactly once with a grant or a refusal,
	 * unless the request is withdrawn first. The call can be made on any thread and
	 * before this method returns, but never while a lock of the controller is held.
	 * @param attributes the attributes of the request
	 * @param listener the listener for the first attempt
	 * @return the ticket of the request
	 */
	Ticket submit(RequestAttributes attributes, GrantListener listener);

	/**
	 * Starts draining: new requests are refused with {@code SHUTTING_DOWN}, queued ones
	 * are still served.
	 */
	void drain();

	/**
	 * Returns the number of requests that were submitted and are not finished.
	 * @return the count
	 */
	int unfinishedRequests();

}
