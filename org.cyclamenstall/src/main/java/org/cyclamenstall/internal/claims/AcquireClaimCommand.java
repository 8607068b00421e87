package org.cyclamenstall.internal.claims;

import java.util.Objects;
import java.util.Optional;

import org.cyclamenstall.claims.ClaimDecision;
import org.cyclamenstall.claims.ClaimStatus;
import org.cyclamenstall.claims.ClaimantClient;
import org.cyclamenstall.claims.ClaimantResponse;
import org.cyclamenstall.claims.StoredResponse;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.internal.claims.ClaimStore.StoredClaim;
import org.cyclamenstall.store.StorePriority;
import org.cyclamenstall.store.WriteResult;
import org.jspecify.annotations.Nullable;

/**
 * Claims one request in the store. The claim is granted only if a conditional write was
 * applied or if the record read back belongs to this attempt. The record of another
 * attempt is replaced only if that attempt is abandoned, and only at the version that was
 * read. For a single use; not thread-safe.
 */
final class AcquireClaimCommand {

	private static final int MAXIMUM_WRITES = 4;

	private final ClaimStore store;

	private final ClaimTable table;

	private final ClaimantClient claimantClient;

	private final String host;

	private final long incarnation;

	private @Nullable LocalClaim claim;

	AcquireClaimCommand(ClaimStore store, ClaimTable table, ClaimantClient claimantClient, String host,
			long incarnation) {
		this.store = store;
		this.table = table;
		this.claimantClient = claimantClient;
		this.host = host;
		this.incarnation = incarnation;
	}

	AcquireClaimCommand setClaim(LocalClaim newClaim) {
		this.claim = newClaim;
		return this;
	}

	/**
	 * Claims the request. Blocks on the store and on the claimant of an earlier attempt.
	 * @return the decision; the phase of the claim is not changed
	 */
	ClaimDecision call() {
		long existingVersion = 0;
		for (int writes = 0; writes < MAXIMUM_WRITES && !claim().age().exceedsMaximum(); writes++) {
			WriteResult result = write(existingVersion);
			if (result == WriteResult.APPLIED) {
				return granted();
			}
			if (result == WriteResult.NOT_SENT) {
				return storeUnavailable("The store is unreachable");
			}
			Optional<StoredClaim> existing = read();
			ClaimDecision decision = existing.map(this::decide).orElse(null);
			if (decision != null) {
				return decision;
			}
			existingVersion = existing.map(StoredClaim::version).orElse(0L);
		}
		return storeUnavailable("The claim could not be stored in time");
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
	 * Decides on a record read from the store.
	 * @param existing the record
	 * @return the decision, or {@code null} if the record may be replaced
	 */
	private @Nullable ClaimDecision decide(StoredClaim existing) {
		ClaimRecord record = existing.record();
		if (record.attempt().equals(claim().attempt())) {
			return granted();
		}
		if (!record.bodyHash().equals(claim().request().bodyHash())) {
			return new ClaimDecision.Refused(ErrorKind.IDEMPOTENCY_KEY_REUSED,
					"The idempotency key was already used with another method, path or body");
		}
		return switch (record.outcome()) {
			case COMPLETED -> replay(record.answer());
			case UNKNOWN -> outcomeUnknown();
			case ABANDONED -> null;
			case CLAIMED -> decideByClaimant(existing);
		};
	}

	private @Nullable ClaimDecision decideByClaimant(StoredClaim existing) {
		ClaimantResponse response = queryClaimant(existing.record());
		return switch (response.status()) {
			case ABANDONED -> null;
			case IN_PROGRESS -> inProgress();
			case COMPLETED -> replay(response.answer());
			case UNKNOWN -> decideAfterReread(existing);
		};
	}

	/**
	 * Reads a record again after its claimant returned {@link ClaimStatus#UNKNOWN}. A
	 * claimant removes an attempt from memory as soon as its outcome is stored, so the
	 * record may have changed since it was read.
	 * @param existing the record as read before
	 * @return the decision, or {@code null} if the record may be replaced
	 */
	private @Nullable ClaimDecision decideAfterReread(StoredClaim existing) {
		Optional<StoredClaim> current = read();
		boolean unchanged = current.isPresent() && current.get().version() == existing.version();
		if (unchanged) {
			return outcomeUnknown();
		}
		return current.map(this::decide).orElse(null);
	}

	private ClaimantResponse queryClaimant(ClaimRecord record) {
		if (!record.host().equals(this.host)) {
			return this.claimantClient.query(record.host(), record.incarnation(), record.attempt());
		}
		return (record.incarnation() == this.incarnation) ? this.table.statusOf(record.attempt())
				: ClaimantResponse.UNKNOWN;
	}

	private ClaimRecord record() {
		LocalClaim localClaim = claim();
		return new ClaimRecord(localClaim.request().account(), localClaim.request().entry(),
				localClaim.request().bodyHash(), this.host, this.incarnation, localClaim.attempt(),
				localClaim.age().startMillis(), ClaimOutcome.CLAIMED, null);
	}

	private ClaimDecision granted() {
		return new ClaimDecision.Granted(claim());
	}

	static ClaimDecision replay(@Nullable StoredResponse response) {
		return (response != null) ? new ClaimDecision.Replayed(response) : new ClaimDecision.Refused(
				ErrorKind.IDEMPOTENCY_ANSWER_NOT_KEPT, "The request was executed, but its response was not retained");
	}

	static ClaimDecision inProgress() {
		return new ClaimDecision.Refused(ErrorKind.IDEMPOTENCY_IN_PROGRESS,
				"A request with this idempotency key is in progress");
	}

	static ClaimDecision outcomeUnknown() {
		return new ClaimDecision.Refused(ErrorKind.IDEMPOTENCY_OUTCOME_UNKNOWN,
				"An earlier request with this idempotency key may have been executed");
	}

	static ClaimDecision storeUnavailable(String detail) {
		return new ClaimDecision.Refused(ErrorKind.CLAIM_STORE_UNAVAILABLE, detail);
	}

	/**
	 * Decides on a request for which this daemon already has a claim that is not
	 * abandoned.
	 * @param earlierClaim the earlier claim
	 * @param bodyHash the hash of method, path with query, and body of the new request
	 * @return the decision
	 */
	static ClaimDecision decideLocally(LocalClaim earlierClaim, String bodyHash) {
		if (!earlierClaim.request().bodyHash().equals(bodyHash)) {
			return new ClaimDecision.Refused(ErrorKind.IDEMPOTENCY_KEY_REUSED,
					"The idempotency key was already used with another method, path or body");
		}
		ClaimantResponse response = earlierClaim.status();
		if (response.status() == ClaimStatus.COMPLETED) {
			return replay(response.answer());
		}
		return (response.status() == ClaimStatus.UNKNOWN) ? outcomeUnknown() : inProgress();
	}

	/**
	 * Returns the decision for a failure of the store or a full claim table.
	 * @param failure the failure
	 * @return the decision
	 */
	static ClaimDecision storeUnavailable(RouterException failure) {
		return storeUnavailable("The request could not be claimed: " + failure.getMessage());
	}

}
