package org.cyclamenstall.internal.metering;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.cyclamenstall.policy.EngineTimeRecorder;

/**
 * Adds up the engine time of the requests of this daemon since its start, by service.
 * Thread-safe.
 */
public final class LocalEngineTime implements EngineTimeRecorder {

	private final Map<String, Long> nanosByService = new HashMap<>();

	@Override
	public synchronized void record(String service, long nanos) {
		this.nanosByService.merge(service, nanos, Long::sum);
	}

	/**
	 * Returns the sums.
	 * @return a copy of the sums in milliseconds, by service
	 */
	synchronized Map<String, Long> millisByService() {
		Map<String, Long> millis = new HashMap<>();
		this.nanosByService.forEach((service, nanos) -> millis.put(service, TimeUnit.NANOSECONDS.toMillis(nanos)));
		return millis;
	}

}
