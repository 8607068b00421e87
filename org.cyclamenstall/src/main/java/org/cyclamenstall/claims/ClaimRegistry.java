package org.cyclamenstall.claims;

import org.cyclamenstall.kernel.Service;

/**
 * Claims requests with an idempotency key in the configuration store. Thread-safe.
 */
public interface ClaimRegistry extends Service {

	/**
	 * Claims a request, or returns the outcome of an earlier request with the same
	 * idempotency key. Blocks on the store and on peers; must not be called on an I/O
	 * thread.
	 * @param request the request to claim
	 * @return the decision
	 */
	ClaimDecision claim(ClaimRequest request);

}
