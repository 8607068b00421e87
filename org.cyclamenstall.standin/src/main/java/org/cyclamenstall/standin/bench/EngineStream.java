package org.cyclamenstall.standin.bench;

/**
 * Stands for one attempt at an engine. Not thread-safe.
 */
interface EngineStream {

	/**
	 * Returns the priority.
	 * @return the priority, 0 is the highest
	 */
	int priority();

	/**
	 * Returns the tokens that are still to be generated.
	 * @return the count
	 */
	int remaining();

	/**
	 * Takes generated tokens.
	 * @param count how many
	 */
	void produced(int count);

	/**
	 * Takes the end of the answer.
	 */
	void completed();

}
