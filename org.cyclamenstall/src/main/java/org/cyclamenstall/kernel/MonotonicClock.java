package org.cyclamenstall.kernel;

/**
 * Clock that never goes backwards. It is passed to decision logic as a parameter, so that
 * tests can control the time.
 */
@FunctionalInterface
public interface MonotonicClock {

	/** Monotonic clock of the Java virtual machine. */
	MonotonicClock SYSTEM = System::nanoTime;

	/**
	 * Returns the time in nanoseconds since an arbitrary origin.
	 * @return the time
	 */
	long nanoTime();

}
