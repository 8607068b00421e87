package org.cyclamenstall.standin.engine;

/**
 * Receives the progress of a generation. Called on the engine thread; must not block.
 */
interface GenerationListener {

	/**
	 * Called for each generated token.
	 * @param index the index of the token in the response
	 * @param text the text of the token
	 */
	void onToken(int index, String text);

	/**
	 * Called after the last token.
	 */
	void onComplete();

}
