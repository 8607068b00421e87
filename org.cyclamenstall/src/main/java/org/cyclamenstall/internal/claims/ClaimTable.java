package org.cyclamenstall.internal.claims;

import java.util.HashMap;
import java.util.Map;

import org.cyclamenstall.claims.ClaimantResponse;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the claims of this daemon until their outcomes are stored. Each key has at most
 * one claim that is not abandoned. Claims are never evicted: a full table rejects new
 * claims. Thread-safe.
 */
final class ClaimTable {

	private final int capacity;

	private final Map<String, LocalClaim> claimsByKey = new HashMap<>();

	private final Map<String, LocalClaim> claimsByAttempt = new HashMap<>();

	ClaimTable(int capacity) {
		this.capacity = capacity;
	}

	/**
	 * Adds a claim unless the table has one for the same key that is not abandoned. An
	 * existing claim that is too old to be sent is abandoned first.
	 * @param claim the claim
	 * @return the existing claim, or {@code null} if the new one was added
	 * @throws ClaimTableFullException if the table is full
	 */
	synchronized @Nullable LocalClaim add(LocalClaim claim) throws ClaimTableFullException {
		LocalClaim existing = this.claimsByKey.get(claim.key());
		if (existing != null && existing.status() != ClaimantResponse.ABANDONED) {
			return existing;
		}
		if (this.claimsByAttempt.size() >= this.capacity) {
			throw new ClaimTableFullException();
		}
		this.claimsByKey.put(claim.key(), claim);
		this.claimsByAttempt.put(claim.attempt(), claim);
		return null;
	}

	synchronized void remove(LocalClaim claim) {
		this.claimsByKey.remove(claim.key(), claim);
		this.claimsByAttempt.remove(claim.attempt(), claim);
	}

	ClaimantResponse statusOf(String attempt) {
		LocalClaim claim;
		synchronized (this) {
			claim = this.claimsByAttempt.get(attempt);
		}
		return (claim != null) ? claim.status() : ClaimantResponse.UNKNOWN;
	}

	synchronized int size() {
		return this.claimsByAttempt.size();
	}

}
