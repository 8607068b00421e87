package org.cyclamenstall.kernel;

/**
 * Clock that never goes backwards and includes the time during which the host is
 * suspended. Used for permissions that must expire after a fixed time even if the host
 * was suspended.
 */
@FunctionalInterface
public interface SuspendAwareClock {

	/**
	 * Returns the time in nanoseconds since an arbitrary origin.
	 * @return the time
	 */
	long nanoTime();

}
