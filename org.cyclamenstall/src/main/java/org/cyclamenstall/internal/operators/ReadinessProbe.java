package org.cyclamenstall.internal.operators;

/**
 * Tells whether the daemon takes requests. Thread-safe.
 */
@FunctionalInterface
public interface ReadinessProbe {

	/**
	 * Returns the present readiness.
	 * @return the readiness
	 */
	Readiness readiness();

}
