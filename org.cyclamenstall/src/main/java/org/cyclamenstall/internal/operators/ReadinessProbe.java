package org.cyclamenstall.internal.operators;

/**
 * Reports whether the daemon accepts requests. Thread-safe.
 */
@FunctionalInterface
public interface ReadinessProbe {

	/**
	 * Returns the current readiness.
	 * @return the readiness, with the reason if the daemon is not ready
	 */
	Readiness readiness();

}
