package org.cyclamenstall.kernel;

/**
 * Reads a clock that never goes back. Decision logic takes it as an argument.
 */
@FunctionalInterface
public interface MonotonicClock {

	/** Reads the clock of the Java virtual machine. */
	MonotonicClock SYSTEM = System::nanoTime;

	/**
	 * Returns the time in nanoseconds since an arbitrary origin.
	 * @return the time
	 */
	long nanoTime();

}
