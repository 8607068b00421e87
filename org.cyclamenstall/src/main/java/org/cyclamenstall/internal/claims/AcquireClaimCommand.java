package org.cyclamenstall.internal.claims;

import java.util.Objects;
import java.util.Optional;

import org.cyclamenstall.claims.ClaimDecision;
import org.cyclamenstall.claims.ClaimStatus;
import org.cyclamenstall.claims.ClaimantAnswer;
import org.cyclamenstall.claims.ClaimantQuery;
import org.cyclamenstall.claims.StoredAnswer;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.internal.claims.ClaimStore.StoredClaim;
import org.cyclamenstall.store.StorePriority;
import org.cyclamenstall.store.WriteResult;
import org.jspecify.annotations.Nullable;

/**
 * Claims one request in the store. The claim is granted only when a conditional write was
 * applied or the record that was read carries this attempt; a record of another attempt
 * is replaced only when that attempt is abandoned, and only in the version in which it
 * was seen. Used once, by one thread.
 */
final class AcquireClaimCommand {

	private static final int MAXIMUM_WRITES = 4;

	private final ClaimStore store;

	private final ClaimTable table;

	private final ClaimantQuery peers;

	private final String host;

	private final long incarnation;

	private @Nullable LocalClaim claim;

	AcquireClaimCommand(ClaimStore store, ClaimTable table, ClaimantQuery peers, String host, long incarnation) {
		this.store = store;
		this.table = table;
		this.peers = peers;
		this.host = host;
		this.incarnation = incarnation;
	}

	AcquireClaimCommand setClaim(LocalClaim newClaim) {
		this.claim = newClaim;
		return this;
	}

	/**
	 * Claims the request. Blocks on the store and on the claimant of an earlier attempt.
	 * @return the decision; the claim's phase is unchanged
	 */
	ClaimDecision call() {
		long seenVersion = 0;
		for (int write = 0; write < MAXIMUM_WRITES && !claim().age().isExceeded(); write++) {
			WriteResult result = write(seenVersion);
			if (result == WriteResult.APPLIED) {
				return granted();
			}
			if (result == WriteResult.NOT_SENT) {
				return unavailable("The store cannot be reached");
			}
			Optional<StoredClaim> seen = read();
			ClaimDecision decision = seen.map(this::decide).orElse(null);
			if (decision != null) {
				return decision;
			}
			seenVersion = seen.map(StoredClaim::version).orElse(0L);
		}
		return unavailable("The store did not settle the claim in time");
	}

	private LocalClaim claim() {
		return Objects.requireNonNull(this.claim);
	}

	private WriteResult write(long version) {
		try {
			WriteResult result = this.store.write(claim().key(), record(), version, StorePriority.CLAIM);
			if (result == WriteResult.UNKNOWN) {
				claim().markPossiblyStored();
			}
			return result;
		}
		catch (RuntimeException ex) {
			claim().markPossiblyStored();
			throw ex;
		}
	}

	private Optional<StoredClaim> read() {
		return this.store.read(claim().key(), StorePriority.CLAIM);
	}

	/**
	 * Decides on a record that was read.
	 * @param seen the record
	 * @return the decision, or {@code null} if the record may be replaced
	 */
	private @Nullable ClaimDecision decide(StoredClaim seen) {
		ClaimRecord record = seen.record();
		if (record.attempt().equals(claim().attempt())) {
			return granted();
		}
		if (!record.bodyHash().equals(claim().request().bodyHash())) {
			return new ClaimDecision.Refused(ErrorKind.IDEMPOTENCY_KEY_REUSED,
					"The idempotency key was used with another body");
		}
		return switch (record.outcome()) {
			case COMPLETED -> replay(record.answer());
			case UNKNOWN -> outcomeUnknown();
			case ABANDONED -> null;
			case CLAIMED -> askClaimant(seen);
		};
	}

	private @Nullable ClaimDecision askClaimant(StoredClaim seen) {
		ClaimantAnswer answer = claimantAnswer(seen.record());
		return switch (answer.status()) {
			case ABANDONED -> null;
			case IN_PROGRESS -> inProgress();
			case COMPLETED -> replay(answer.answer());
			case UNKNOWN -> readAgain(seen);
		};
	}

	/**
	 * Reads a record again whose claimant knows nothing of it: the claimant forgets an
	 * attempt as soon as the store tells its end.
	 * @param seen the record as it was read before
	 * @return the decision, or {@code null} if the record may be replaced
	 */
	private @Nullable ClaimDecision readAgain(StoredClaim seen) {
		Optional<StoredClaim> now = read();
		boolean unchanged = now.isPresent() && now.get().version() == seen.version();
		if (unchanged) {
			return outcomeUnknown();
		}
		return now.map(this::decide).orElse(null);
	}

	private ClaimantAnswer claimantAnswer(ClaimRecord record) {
		if (!record.host().equals(this.host)) {
			return this.peers.ask(record.host(), record.incarnation(), record.attempt());
		}
		return (record.incarnation() == this.incarnation) ? this.table.statusOf(record.attempt())
				: ClaimantAnswer.UNKNOWN;
	}

	private ClaimRecord record() {
		LocalClaim own = claim();
		return new ClaimRecord(own.request().account(), own.request().entry(), own.request().bodyHash(), this.host,
				this.incarnation, own.attempt(), own.age().startMillis(), ClaimOutcome.CLAIMED, null);
	}

	private ClaimDecision granted() {
		return new ClaimDecision.Granted(claim());
	}

	static ClaimDecision replay(@Nullable StoredAnswer answer) {
		return (answer != null) ? new ClaimDecision.Replayed(answer) : new ClaimDecision.Refused(
				ErrorKind.IDEMPOTENCY_ANSWER_NOT_KEPT, "The request ran; its answer was not kept");
	}

	static ClaimDecision inProgress() {
		return new ClaimDecision.Refused(ErrorKind.IDEMPOTENCY_IN_PROGRESS,
				"A request with this idempotency key is running");
	}

	static ClaimDecision outcomeUnknown() {
		return new ClaimDecision.Refused(ErrorKind.IDEMPOTENCY_OUTCOME_UNKNOWN,
				"An earlier request with this idempotency key may have run");
	}

	static ClaimDecision unavailable(String detail) {
		return new ClaimDecision.Refused(ErrorKind.CLAIM_STORE_UNAVAILABLE, detail);
	}

	/**
	 * Decides on an earlier claim of this daemon that is not abandoned.
	 * @param earlier the earlier claim
	 * @param bodyHash the hash of the new request's body
	 * @return the decision
	 */
	static ClaimDecision decideLocally(LocalClaim earlier, String bodyHash) {
		if (!earlier.request().bodyHash().equals(bodyHash)) {
			return new ClaimDecision.Refused(ErrorKind.IDEMPOTENCY_KEY_REUSED,
					"The idempotency key was used with another body");
		}
		ClaimantAnswer answer = earlier.status();
		if (answer.status() == ClaimStatus.COMPLETED) {
			return replay(answer.answer());
		}
		return (answer.status() == ClaimStatus.UNKNOWN) ? outcomeUnknown() : inProgress();
	}

	/**
	 * Tells that the store failed.
	 * @param failure the failure
	 * @return the decision
	 */
	static ClaimDecision unavailable(RouterException failure) {
		return unavailable("The store did not answer: " + failure.getMessage());
	}

}
