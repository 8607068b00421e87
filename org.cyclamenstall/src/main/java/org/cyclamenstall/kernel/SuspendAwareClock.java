package org.cyclamenstall.kernel;

/**
 * Reads a clock that never goes back and also counts the time during which the host was
 * suspended. Rights that must end at a bound on every host are measured with it.
 */
@FunctionalInterface
public interface SuspendAwareClock {

	/**
	 * Returns the time in nanoseconds since an arbitrary origin.
	 * @return the time
	 */
	long nanoTime();

}
