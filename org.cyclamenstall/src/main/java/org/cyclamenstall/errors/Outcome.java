package org.cyclamenstall.errors;

/**
 * States what is known of the execution of a request that failed.
 */
public enum Outcome {

	/** No upstream executed the request, and none will. */
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
	 * Returns the spelling used in answers and metrics.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

}
