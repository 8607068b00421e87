package org.cyclamenstall.internal.claims;

import org.cyclamenstall.claims.ClaimDecision;
import org.cyclamenstall.claims.ClaimRegistry;
import org.cyclamenstall.claims.ClaimRequest;
import org.cyclamenstall.errors.ErrorKind;

/**
 * Stands where requests have no names and so need no claims. Thread-safe.
 */
public final class NoClaims implements ClaimRegistry {

	@Override
	public ClaimDecision claim(ClaimRequest request) {
		return new ClaimDecision.Refused(ErrorKind.CLAIM_STORE_UNAVAILABLE, "this daemon keeps no claims");
	}

}
