package org.cyclamenstall.internal.claims;

import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;

/**
 * Thrown when the claim table has no room for another claim.
 */
final class ClaimTableFullException extends RouterException {

	ClaimTableFullException() {
		super(ErrorKind.CLAIM_STORE_UNAVAILABLE, "The claim table is full");
	}

}
