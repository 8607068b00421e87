package org.cyclamenstall.internal.claims;

import java.util.concurrent.atomic.AtomicReference;

import org.cyclamenstall.claims.Claim;
import org.cyclamenstall.claims.ClaimRequest;
import org.cyclamenstall.claims.ClaimStatus;
import org.cyclamenstall.claims.ClaimantResponse;
import org.cyclamenstall.claims.StoredResponse;
import org.jspecify.annotations.Nullable;

/**
 * A claim that this daemon holds in memory until its outcome is stored. The phase changes
 * by compare-and-set, and an ended phase is final. {@code ABANDONED} can be reached only
 * from a phase in which no upstream can have executed the request, and rules out
 * {@code SENDING} afterwards. Thread-safe.
 */
final class LocalClaim implements Claim {

	private final ClaimRequest request;

	private final String key;

	private final ClaimAge age;

	private final ClaimEndListener listener;

	private final AtomicReference<ClaimPhase> phase = new AtomicReference<>(ClaimPhase.CLAIMING);

	private volatile boolean possiblyStored;

	private @Nullable volatile StoredResponse response;

	LocalClaim(ClaimRequest request, String key, ClaimAge age, ClaimEndListener listener) {
		this.request = request;
		this.key = key;
		this.age = age;
		this.listener = listener;
	}

	ClaimRequest request() {
		return this.request;
	}

	String key() {
		return this.key;
	}

	String attempt() {
		return this.request.requestId();
	}

	ClaimAge age() {
		return this.age;
	}

	ClaimPhase phase() {
		return this.phase.get();
	}

	@Nullable StoredResponse response() {
		return this.response;
	}

	/**
	 * Returns whether the store holds, or may later hold, a record of this attempt.
	 * @return {@code false} only if no write of this attempt can have taken effect
	 */
	boolean isPossiblyStored() {
		return this.possiblyStored;
	}

	void markPossiblyStored() {
		this.possiblyStored = true;
	}

	void grant() {
		this.possiblyStored = true;
		this.phase.compareAndSet(ClaimPhase.CLAIMING, ClaimPhase.CLAIMED);
	}

	void abandonAcquisition() {
		end(ClaimPhase.CLAIMING, ClaimPhase.ABANDONED);
	}

	@Override
	public boolean beginSending() {
		if (this.age.exceedsMaximum()) {
			abandon();
			return false;
		}
		return this.phase.compareAndSet(ClaimPhase.CLAIMED, ClaimPhase.SENDING);
	}

	@Override
	public void recordNotExecuted() {
		this.phase.compareAndSet(ClaimPhase.SENDING, ClaimPhase.CLAIMED);
	}

	@Override
	public boolean abandon() {
		return end(ClaimPhase.CLAIMED, ClaimPhase.ABANDONED) || phase() == ClaimPhase.ABANDONED;
	}

	@Override
	public void complete(StoredResponse newResponse) {
		if (phase() == ClaimPhase.SENDING) {
			this.response = this.listener.retainResponse(newResponse);
			end(ClaimPhase.SENDING, ClaimPhase.COMPLETED);
		}
	}

	@Override
	public void recordOutcomeUnknown() {
		end(ClaimPhase.SENDING, ClaimPhase.OUTCOME_UNKNOWN);
	}

	/**
	 * Returns the status of this claim. A claim that is too old to be sent is abandoned
	 * first.
	 * @return the response to a query about this claim
	 */
	ClaimantResponse status() {
		if (phase() == ClaimPhase.CLAIMED && this.age.exceedsMaximum()) {
			abandon();
		}
		return switch (phase()) {
			case CLAIMING, CLAIMED, SENDING -> ClaimantResponse.IN_PROGRESS;
			case COMPLETED -> new ClaimantResponse(ClaimStatus.COMPLETED, this.response);
			case OUTCOME_UNKNOWN -> ClaimantResponse.UNKNOWN;
			case ABANDONED -> ClaimantResponse.ABANDONED;
		};
	}

	private boolean end(ClaimPhase from, ClaimPhase to) {
		boolean changed = this.phase.compareAndSet(from, to);
		if (changed) {
			this.listener.onClaimEnded(this);
		}
		return changed;
	}

}
