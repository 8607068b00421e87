package org.cyclamenstall.policy;

/**
 * Receives the engine time of each request that is sent to a model engine. Thread-safe.
 */
@FunctionalInterface
public interface EngineTimeRecorder {

	/** Ignores all requests. */
	EngineTimeRecorder NONE = (service, nanos) -> {
	};

	/**
	 * Records the engine time of a request.
	 * @param service the name of the service
	 * @param nanos the time in nanoseconds for which the request is expected to occupy an
	 * engine that serves nothing else
	 */
	void record(String service, long nanos);

}
