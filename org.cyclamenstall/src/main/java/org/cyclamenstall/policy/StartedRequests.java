package org.cyclamenstall.policy;

/**
 * Receives each request that an upstream began to execute, once. Thread-safe.
 */
@FunctionalInterface
public interface StartedRequests {

	/** Ignores all requests. */
	StartedRequests NONE = (attributes, ageNanos) -> {
	};

	/**
	 * Records a request.
	 * @param attributes the request attributes
	 * @param ageNanos the time since the upstream began to execute it, in nanoseconds
	 */
	void record(RequestAttributes attributes, long ageNanos);

}
