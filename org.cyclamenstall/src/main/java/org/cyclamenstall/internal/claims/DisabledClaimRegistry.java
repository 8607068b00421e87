package org.cyclamenstall.internal.claims;

import org.cyclamenstall.claims.ClaimDecision;
import org.cyclamenstall.claims.ClaimRegistry;
import org.cyclamenstall.claims.ClaimRequest;
import org.cyclamenstall.errors.ErrorKind;

/**
 * Refuses every claim, for daemons without support for idempotency keys. Thread-safe.
 */
public final class DisabledClaimRegistry implements ClaimRegistry {

	@Override
	public ClaimDecision claim(ClaimRequest request) {
		return new ClaimDecision.Refused(ErrorKind.CLAIM_STORE_UNAVAILABLE, "claims are disabled on this daemon");
	}

}
