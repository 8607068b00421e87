package org.cyclamenstall.internal.claims;

import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;

/**
 * Reports that no further claim can be remembered.
 */
final class ClaimTableFullException extends RouterException {

	ClaimTableFullException() {
		super(ErrorKind.CLAIM_STORE_UNAVAILABLE, "Too many claims await the store");
	}

}
