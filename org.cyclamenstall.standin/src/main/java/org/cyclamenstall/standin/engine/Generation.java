package org.cyclamenstall.standin.engine;

/**
 * The generation of one response: it waits for a slot, its prompt is prefilled, and then
 * each step generates one token. Guarded by the {@link Batch} that it belongs to.
 */
final class Generation {

	private final CompletionRequest request;

	private final int priority;

	private final GenerationListener listener;

	/** Number of tokens that earlier attempts have generated; they are not repeated. */
	private final int resumedTokens;

	private int nextTokenIndex;

	private long sequence;

	private long decodeStartNanos;

	Generation(CompletionRequest request, int priority, int resumedTokens, GenerationListener listener) {
		this.request = request;
		this.priority = priority;
		this.resumedTokens = resumedTokens;
		this.nextTokenIndex = resumedTokens;
		this.listener = listener;
	}

	CompletionRequest request() {
		return this.request;
	}

	GenerationListener listener() {
		return this.listener;
	}

	int priority() {
		return this.priority;
	}

	long sequence() {
		return this.sequence;
	}

	void setSequence(long newSequence) {
		this.sequence = newSequence;
	}

	void admit(long prefillEndNanos) {
		this.decodeStartNanos = prefillEndNanos;
	}

	boolean hasFinishedPrefill(long nowNanos) {
		return nowNanos - this.decodeStartNanos >= 0;
	}

	boolean isComplete() {
		return this.nextTokenIndex >= this.request.tokens();
	}

	int resumedTokens() {
		return this.resumedTokens;
	}

	int generatedTokens() {
		return this.nextTokenIndex - this.resumedTokens;
	}

	void generateToken() {
		int index = this.nextTokenIndex;
		this.nextTokenIndex++;
		this.listener.onToken(index, this.request.token(index));
	}

}
