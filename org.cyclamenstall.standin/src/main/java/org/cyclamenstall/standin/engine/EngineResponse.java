package org.cyclamenstall.standin.engine;

/**
 * Writes the response of one generation to its connection. Called on the engine thread.
 */
abstract class EngineResponse implements GenerationListener {

	static final String FINISH_REASON_STOP = "stop";

	private final String identifier;

	private final CompletionRequest request;

	private final ResponseFault fault;

	private final int truncateAfterTokens;

	EngineResponse(String identifier, CompletionRequest request, ResponseFault fault, int truncateAfterTokens) {
		this.identifier = (fault == ResponseFault.FOREIGN_ID) ? "foreign-" + identifier : identifier;
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

	ResponseFault fault() {
		return this.fault;
	}

	boolean shouldTruncate(int sentTokens) {
		return this.fault == ResponseFault.CUT && sentTokens >= this.truncateAfterTokens;
	}

}
