package org.cyclamenstall.junit;

/**
 * Asserts that a call throws an exception and returns it for further checks. Stateless
 * and thread-safe.
 */
public final class ThrowableAssert {

	private ThrowableAssert() {
	}

	/**
	 * Makes a call and returns the exception that it throws.
	 * @param <T> the expected type of the exception
	 * @param type the expected type of the exception
	 * @param call the call
	 * @return the exception
	 * @throws AssertionError if the call throws nothing or an exception of another type
	 */
	public static <T extends Throwable> T catchThrowableOfType(Class<T> type, ThrowingCallable call) {
		try {
			call.run();
		}
		catch (Throwable ex) {
			if (type.isInstance(ex)) {
				return type.cast(ex);
			}
			throw new AssertionError("expected " + type.getName(), ex);
		}
		throw new AssertionError("expected " + type.getName() + ", but nothing was thrown");
	}

	/**
	 * Represents a call that may throw any exception.
	 */
	@FunctionalInterface
	public interface ThrowingCallable {

		/**
		 * Makes the call.
		 * @throws Exception if it fails
		 */
		void run() throws Exception;

	}

}
