package org.cyclamenstall.standin.engine;

/**
 * Runs through an engine: it waits for a slot, its prompt is worked, and then it takes
 * one token in each step. Guarded by the batch that it is in.
 */
final class Generation {

	private final CompletionRequest request;

	private final int priority;

	private final GenerationListener listener;

	private final int firstToken;

	private int nextToken;

	private long sequence;

	private long readyAtNanos;

	Generation(CompletionRequest request, int priority, int firstToken, GenerationListener listener) {
		this.request = request;
		this.priority = priority;
		this.firstToken = firstToken;
		this.nextToken = firstToken;
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

	void enqueue(long position) {
		this.sequence = position;
	}

	void admit(long readyNanos) {
		this.readyAtNanos = readyNanos;
	}

	boolean isReady(long nowNanos) {
		return nowNanos - this.readyAtNanos >= 0;
	}

	boolean isComplete() {
		return this.nextToken >= this.request.tokens();
	}

	int firstToken() {
		return this.firstToken;
	}

	int tokensMade() {
		return this.nextToken - this.firstToken;
	}

	void makeToken() {
		int index = this.nextToken;
		this.nextToken++;
		this.listener.onToken(index, this.request.token(index));
	}

}
