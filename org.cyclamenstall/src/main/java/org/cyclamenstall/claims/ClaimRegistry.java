package org.cyclamenstall.claims;

import org.cyclamenstall.kernel.Service;

/**
 * Claims named requests in the platform's store. Thread-safe.
 */
public interface ClaimRegistry extends Service {

	/**
	 * Claims a request, or tells what became of an earlier one with the same name. Blocks
	 * on the store and on peers; not for an I/O thread.
	 * @param request the named request
	 * @return the decision
	 */
	ClaimDecision claim(ClaimRequest request);

}
