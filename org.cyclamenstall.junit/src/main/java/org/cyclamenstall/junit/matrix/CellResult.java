package org.cyclamenstall.junit.matrix;

import java.util.List;

/**
 * Represents the result of one cell of the fault matrix. Immutable.
 *
 * @param summary the responses that the caller or operator received and, for a booking,
 * the number of executions
 * @param violations the violated guarantees, empty if the cell passed
 */
public record CellResult(String summary, List<String> violations) {

	/**
	 * Returns the text of the result column of the table.
	 * @return {@code passed}, or {@code FAILED} followed by the violations
	 */
	public String verdict() {
		return this.violations.isEmpty() ? "passed" : "FAILED: " + String.join("; ", this.violations);
	}

}
