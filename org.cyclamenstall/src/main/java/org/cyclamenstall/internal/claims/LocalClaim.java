package org.cyclamenstall.internal.claims;

import java.util.concurrent.atomic.AtomicReference;

import org.cyclamenstall.claims.Claim;
import org.cyclamenstall.claims.ClaimRequest;
import org.cyclamenstall.claims.ClaimStatus;
import org.cyclamenstall.claims.ClaimantAnswer;
import org.cyclamenstall.claims.StoredAnswer;
import org.jspecify.annotations.Nullable;

/**
 * Holds one claim of this daemon. The phase moves by compare-and-set; an ended phase is
 * final. {@code ABANDONED} is reached only from a phase in which nothing was sent, and
 * excludes {@code SENDING} for ever. Thread-safe.
 */
final class LocalClaim implements Claim {

	private final ClaimRequest request;

	private final String key;

	private final ClaimAge age;

	private final ClaimEndListener listener;

	private final AtomicReference<ClaimPhase> phase = new AtomicReference<>(ClaimPhase.CLAIMING);

	private volatile boolean possiblyStored;

	private @Nullable volatile StoredAnswer answer;

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

	@Nullable StoredAnswer answer() {
		return this.answer;
	}

	/**
	 * Returns whether the store may hold, or may yet come to hold, a record of this
	 * attempt.
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

	void giveUpClaiming() {
		end(ClaimPhase.CLAIMING, ClaimPhase.ABANDONED);
	}

	@Override
	public boolean beginSending() {
		if (this.age.isExceeded()) {
			abandon();
			return false;
		}
		return this.phase.compareAndSet(ClaimPhase.CLAIMED, ClaimPhase.SENDING);
	}

	@Override
	public void provedNotRun() {
		this.phase.compareAndSet(ClaimPhase.SENDING, ClaimPhase.CLAIMED);
	}

	@Override
	public boolean abandon() {
		return end(ClaimPhase.CLAIMED, ClaimPhase.ABANDONED) || phase() == ClaimPhase.ABANDONED;
	}

	@Override
	public void complete(StoredAnswer newAnswer) {
		if (phase() == ClaimPhase.SENDING) {
			this.answer = this.listener.keepable(newAnswer);
			end(ClaimPhase.SENDING, ClaimPhase.COMPLETED);
		}
	}

	@Override
	public void outcomeUnknown() {
		end(ClaimPhase.SENDING, ClaimPhase.OUTCOME_UNKNOWN);
	}

	/**
	 * Returns what may be told of this claim, after giving it up if it is too old to be
	 * sent.
	 * @return the answer for whoever asks
	 */
	ClaimantAnswer status() {
		if (phase() == ClaimPhase.CLAIMED && this.age.isExceeded()) {
			abandon();
		}
		return switch (phase()) {
			case CLAIMING, CLAIMED, SENDING -> ClaimantAnswer.IN_PROGRESS;
			case COMPLETED -> new ClaimantAnswer(ClaimStatus.COMPLETED, this.answer);
			case OUTCOME_UNKNOWN -> ClaimantAnswer.UNKNOWN;
			case ABANDONED -> ClaimantAnswer.ABANDONED;
		};
	}

	private boolean end(ClaimPhase from, ClaimPhase to) {
		boolean moved = this.phase.compareAndSet(from, to);
		if (moved) {
			this.listener.ended(this);
		}
		return moved;
	}

}
