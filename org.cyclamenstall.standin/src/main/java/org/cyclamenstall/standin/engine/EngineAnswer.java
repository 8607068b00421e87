package org.cyclamenstall.standin.engine;

/**
 * Writes the response of one generation to its connection. Called on the engine thread.
 */
abstract class EngineAnswer implements GenerationListener {

	static final String STOP = "stop";

	private final String identifier;

	private final CompletionRequest request;

	private final AnswerFault fault;

	private final int truncateAfterTokens;

	EngineAnswer(String identifier, CompletionRequest request, AnswerFault fault, int truncateAfterTokens) {
		this.identifier = (fault == AnswerFault.FOREIGN_ID) ? "foreign-" + identifier : identifier;
		this.request = request;
		this.fault = fault;
		this.truncateAfterTokens = truncateAfterTokens;
	}

	String identifier() {
		return this.identifier;
	}

	CompletionRequest request() {
		return this.request;
	}

	AnswerFault fault() {
		return this.fault;
	}

	boolean shouldTruncate(int sentTokens) {
		return this.fault == AnswerFault.CUT && sentTokens >= this.truncateAfterTokens;
	}

}
