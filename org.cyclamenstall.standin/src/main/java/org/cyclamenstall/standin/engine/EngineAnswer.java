package org.cyclamenstall.standin.engine;

/**
 * Writes the answer of one generation to its connection. Called on the engine's thread.
 */
abstract class EngineAnswer implements GenerationListener {

	static final String STOP = "stop";

	private final String identifier;

	private final CompletionRequest request;

	private final AnswerFault fault;

	private final int cutAfterTokens;

	EngineAnswer(String identifier, CompletionRequest request, AnswerFault fault, int cutAfterTokens) {
		this.identifier = (fault == AnswerFault.FOREIGN_ID) ? "foreign-" + identifier : identifier;
		this.request = request;
		this.fault = fault;
		this.cutAfterTokens = cutAfterTokens;
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

	boolean isCutAt(int tokensSent) {
		return this.fault == AnswerFault.CUT && tokensSent >= this.cutAfterTokens;
	}

}
