package org.cyclamenstall.standin.bench;

/**
 * Attempt that an {@link EngineModel} processes. Not thread-safe.
 */
interface EngineStream {

	/**
	 * Returns the priority of this attempt.
	 * @return the priority; 0 is the highest
	 */
	int priority();

	/**
	 * Returns the number of tokens that remain to be generated.
	 * @return the number of tokens
	 */
	int remainingTokens();

	/**
	 * Called when the engine has generated tokens.
	 * @param count the number of tokens
	 */
	void onTokens(int count);

	/**
	 * Called when the engine has generated the last token.
	 */
	void onCompleted();

}
