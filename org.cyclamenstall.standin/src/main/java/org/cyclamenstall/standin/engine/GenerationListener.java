package org.cyclamenstall.standin.engine;

/**
 * Hears of the progress of a generation. Called on the engine's thread; must not block.
 */
interface GenerationListener {

	/**
	 * Takes the next token.
	 * @param index the index of the token in the answer
	 * @param text the text of the token
	 */
	void onToken(int index, String text);

	/**
	 * Hears that the answer is complete.
	 */
	void onComplete();

}
