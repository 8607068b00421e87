package org.cyclamenstall.errors;

/**
 * Describes whether a failed request was executed by an upstream.
 */
public enum Outcome {

	/** No upstream has executed or will execute the request. */
	NOT_RUN("not-run"),

	/** The request may have been executed. */
	UNKNOWN("unknown"),

	/** An upstream executed the request. */
	RAN("ran");

	private final String label;

	Outcome(String label) {
		this.label = label;
	}

	/**
	 * Returns the label used in responses and metrics.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

}
