package org.cyclamenstall.internal.upstream;

/**
 * Reports an answer that must not be relayed.
 */
public final class InvalidAnswerException extends RuntimeException {

	private final AttemptFailure failure;

	/**
	 * Creates a report.
	 * @param failure how the attempt fails by it
	 * @param message the detail for the caller
	 */
	public InvalidAnswerException(AttemptFailure failure, String message) {
		super(message);
		this.failure = failure;
	}

	/**
	 * Returns how the attempt fails by it.
	 * @return the failure
	 */
	public AttemptFailure failure() {
		return this.failure;
	}

}
