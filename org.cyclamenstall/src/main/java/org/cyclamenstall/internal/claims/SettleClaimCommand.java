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
 * Writes the end of a claim into the store. A record that is absent is created, so that a
 * late write of the same attempt can no longer take effect. Used once, by one thread.
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
	 * Writes the end once. Blocks on the store.
	 * @return what became of it
	 */
	SettleResult call() {
		LocalClaim ended = Objects.requireNonNull(this.claim);
		try {
			return settle(ended, this.store.read(ended.key(), this.priority));
		}
		catch (RouterException ex) {
			logger.debug("The end of attempt {} is not written yet", ended.attempt(), ex);
			return SettleResult.RETRY;
		}
	}

	private SettleResult settle(LocalClaim ended, Optional<StoredClaim> seen) {
		if (seen.isPresent() && !seen.get().record().attempt().equals(ended.attempt())) {
			return replaced(ended, seen.get().record());
		}
		ClaimOutcome outcome = outcome(ended.phase());
		if (seen.isPresent() && seen.get().record().outcome() == outcome) {
			return SettleResult.SETTLED;
		}
		long version = seen.map(StoredClaim::version).orElse(0L);
		WriteResult result = this.store.write(ended.key(), record(ended, outcome), version, this.priority);
		return (result == WriteResult.APPLIED) ? SettleResult.SETTLED : SettleResult.RETRY;
	}

	private SettleResult replaced(LocalClaim ended, ClaimRecord other) {
		if (ended.phase() == ClaimPhase.ABANDONED) {
			return SettleResult.SETTLED;
		}
		logger.error("The claim of attempt {} was replaced by attempt {} of {}", ended.attempt(), other.attempt(),
				other.host());
		return SettleResult.REPLACED;
	}

	private ClaimRecord record(LocalClaim ended, ClaimOutcome outcome) {
		return new ClaimRecord(ended.request().account(), ended.request().entry(), ended.request().bodyHash(),
				this.host, this.incarnation, ended.attempt(), ended.age().startMillis(), outcome, ended.answer());
	}

	private static ClaimOutcome outcome(ClaimPhase phase) {
		return switch (phase) {
			case COMPLETED -> ClaimOutcome.COMPLETED;
			case ABANDONED -> ClaimOutcome.ABANDONED;
			case OUTCOME_UNKNOWN -> ClaimOutcome.UNKNOWN;
			case CLAIMING, CLAIMED, SENDING -> throw new IllegalStateException("The claim has not ended");
		};
	}

}
