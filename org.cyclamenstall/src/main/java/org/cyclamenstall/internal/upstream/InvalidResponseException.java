package org.cyclamenstall.internal.upstream;

/**
 * Thrown for a response that must not be relayed.
 */
public final class InvalidResponseException extends RuntimeException {

	private final AttemptFailure failure;

	/**
	 * Creates an exception.
	 * @param failure the failure of the attempt
	 * @param message the detail message for the caller
	 */
	public InvalidResponseException(AttemptFailure failure, String message) {
		super(message);
		this.failure = failure;
	}

	/**
	 * Returns the failure of the attempt.
	 * @return the failure
	 */
	public AttemptFailure failure() {
		return this.failure;
	}

}
