package org.cyclamenstall.junit;

/**
 * Catches the exception that a call is expected to throw. Stateless and thread-safe.
 */
public final class ThrownBy {

	private ThrownBy() {
	}

	/**
	 * Makes a call that must fail.
	 * @param <T> the type of exception
	 * @param type the type of exception
	 * @param call the call
	 * @return the exception
	 * @throws AssertionError if the call does not throw such an exception
	 */
	public static <T extends Throwable> T call(Class<T> type, FailingCall call) {
		try {
			call.run();
		}
		catch (Throwable ex) {
			if (type.isInstance(ex)) {
				return type.cast(ex);
			}
			throw new AssertionError("Expected " + type.getName(), ex);
		}
		throw new AssertionError("Expected " + type.getName() + ", but nothing was thrown");
	}

	/**
	 * Makes a call that may throw anything.
	 */
	@FunctionalInterface
	public interface FailingCall {

		/**
		 * Makes the call.
		 * @throws Exception if it fails
		 */
		void run() throws Exception;

	}

}
