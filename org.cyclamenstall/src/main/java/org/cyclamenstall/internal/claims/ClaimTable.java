package org.cyclamenstall.internal.claims;

import java.util.HashMap;
import java.util.Map;

import org.cyclamenstall.claims.ClaimantAnswer;
import org.jspecify.annotations.Nullable;

/**
 * Remembers the claims of this daemon until the store tells their end. At most one claim
 * that is not abandoned exists for a key. Nothing is dropped to make room: a full table
 * takes no further claim. Thread-safe.
 */
final class ClaimTable {

	private final int capacity;

	private final Map<String, LocalClaim> byKey = new HashMap<>();

	private final Map<String, LocalClaim> byAttempt = new HashMap<>();

	ClaimTable(int capacity) {
		this.capacity = capacity;
	}

	/**
	 * Enters a claim unless an earlier one for the same key stands.
	 * @param claim the claim
	 * @return the earlier claim, or {@code null} if the new one was entered
	 * @throws ClaimTableFullException if there is no room
	 */
	synchronized @Nullable LocalClaim enter(LocalClaim claim) throws ClaimTableFullException {
		LocalClaim earlier = this.byKey.get(claim.key());
		if (earlier != null && earlier.status() != ClaimantAnswer.ABANDONED) {
			return earlier;
		}
		if (this.byAttempt.size() >= this.capacity) {
			throw new ClaimTableFullException();
		}
		this.byKey.put(claim.key(), claim);
		this.byAttempt.put(claim.attempt(), claim);
		return null;
	}

	synchronized void remove(LocalClaim claim) {
		this.byKey.remove(claim.key(), claim);
		this.byAttempt.remove(claim.attempt(), claim);
	}

	ClaimantAnswer statusOf(String attempt) {
		LocalClaim claim;
		synchronized (this) {
			claim = this.byAttempt.get(attempt);
		}
		return (claim != null) ? claim.status() : ClaimantAnswer.UNKNOWN;
	}

	synchronized int size() {
		return this.byAttempt.size();
	}

}
