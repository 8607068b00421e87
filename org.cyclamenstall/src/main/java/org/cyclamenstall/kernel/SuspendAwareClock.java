package org.cyclamenstall.kernel;

/**
 * Clock that never goes backwards and includes the time during which the host is
 * suspended. Used for time limits that must hold even if the host was suspended, such as
 * the maximum staleness of API keys.
 */
@FunctionalInterface
public interface SuspendAwareClock {

	/**
	 * Returns the time in nanoseconds since an arbitrary origin.
	 * @return the time
	 */
	long nanoTime();

}
