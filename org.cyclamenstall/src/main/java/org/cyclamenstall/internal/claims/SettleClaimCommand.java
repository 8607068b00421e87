package org.cyclamenstall.internal.claims;

import java.util.Objects;
import java.util.Optional;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.internal.claims.ClaimStore.StoredClaim;
import org.cyclamenstall.store.StorePriority;
import org.cyclamenstall.store.WriteResult;
import org.jspecify.annotations.Nullable;

/**
 * Settles an ended claim by writing its outcome to the store. A missing record is
 * created, so that a delayed write of the same attempt can no longer take effect. For a
 * single use; not thread-safe.
 */
final class SettleClaimCommand {

	private static final Logger logger = LogManager.getLogger(SettleClaimCommand.class);

	private final ClaimStore store;

	private final String host;

	private final long incarnation;

	private @Nullable LocalClaim claim;

	private StorePriority priority = StorePriority.BACKGROUND;

	SettleClaimCommand(ClaimStore store, String host, long incarnation) {
		this.store = store;
		this.host = host;
		this.incarnation = incarnation;
	}

	SettleClaimCommand setClaim(LocalClaim newClaim) {
		this.claim = newClaim;
		return this;
	}

	SettleClaimCommand setPriority(StorePriority newPriority) {
		this.priority = newPriority;
		return this;
	}

	/**
	 * Tries once to write the outcome. Blocks on the store.
	 * @return the result
	 */
	SettleResult call() {
		LocalClaim endedClaim = Objects.requireNonNull(this.claim);
		try {
			return settle(endedClaim, this.store.read(endedClaim.key(), this.priority));
		}
		catch (RouterException ex) {
			logger.debug("The outcome of attempt {} could not be written yet", endedClaim.attempt(), ex);
			return SettleResult.RETRY;
		}
	}

	private SettleResult settle(LocalClaim endedClaim, Optional<StoredClaim> existing) {
		if (existing.isPresent() && !existing.get().record().attempt().equals(endedClaim.attempt())) {
			return handleReplaced(endedClaim, existing.get().record());
		}
		ClaimOutcome outcome = outcomeOf(endedClaim.phase());
		if (existing.isPresent() && existing.get().record().outcome() == outcome) {
			return SettleResult.SETTLED;
		}
		long version = existing.map(StoredClaim::version).orElse(0L);
		WriteResult result = this.store.write(endedClaim.key(), record(endedClaim, outcome), version, this.priority);
		return (result == WriteResult.APPLIED) ? SettleResult.SETTLED : SettleResult.RETRY;
	}

	private SettleResult handleReplaced(LocalClaim endedClaim, ClaimRecord other) {
		if (endedClaim.phase() == ClaimPhase.ABANDONED) {
			return SettleResult.SETTLED;
		}
		logger.error("The claim of attempt {} was replaced by attempt {} of host {}", endedClaim.attempt(),
				other.attempt(), other.host());
		return SettleResult.REPLACED;
	}

	private ClaimRecord record(LocalClaim endedClaim, ClaimOutcome outcome) {
		return new ClaimRecord(endedClaim.request().account(), endedClaim.request().entry(),
				endedClaim.request().bodyHash(), this.host, this.incarnation, endedClaim.attempt(),
				endedClaim.age().startMillis(), outcome, endedClaim.response());
	}

	private static ClaimOutcome outcomeOf(ClaimPhase phase) {
		return switch (phase) {
			case COMPLETED -> ClaimOutcome.COMPLETED;
			case ABANDONED -> ClaimOutcome.ABANDONED;
			case OUTCOME_UNKNOWN -> ClaimOutcome.UNKNOWN;
			case CLAIMING, CLAIMED, SENDING -> throw new IllegalStateException("The claim has not ended");
		};
	}

}
