package org.cyclamenstall.junit.matrix;

import java.util.List;

/**
 * Tells what happened in one cell. Immutable.
 *
 * @param happened what the caller or operator saw and how often the request ran
 * @param violations the promises that were broken; empty if the cell passed
 */
public record CellResult(String happened, List<String> violations) {

	/**
	 * Returns the word of the table.
	 * @return {@code passed} or the violations
	 */
	public String verdict() {
		return this.violations.isEmpty() ? "passed" : "FAILED: " + String.join("; ", this.violations);
	}

}
