package org.cyclamenstall.internal.metering;

import java.util.HashMap;
import java.util.Map;

import org.cyclamenstall.internal.peers.load.LoadEndpoint;

/**
 * Adds up the engine time that the daemons have reported, by service. The reports of a
 * daemon are cumulative; the first one that is heard only marks where it starts, and a
 * restarted daemon starts at zero. Thread-safe.
 */
public final class CollectedEngineTime {

	private final Map<LoadEndpoint, Reported> reportedByDaemon = new HashMap<>();

	private final Map<String, Long> totals = new HashMap<>();

	/**
	 * Records the report of a daemon. An older report than the last one has no effect.
	 * @param daemon the daemon
	 * @param incarnation its start time, in milliseconds since the epoch
	 * @param millisByService the engine time since its start, in milliseconds
	 */
	public synchronized void record(LoadEndpoint daemon, long incarnation, Map<String, Long> millisByService) {
		Reported reported = this.reportedByDaemon.get(daemon);
		if (reported == null) {
			this.reportedByDaemon.put(daemon, new Reported(incarnation, new HashMap<>(millisByService)));
			return;
		}
		if (incarnation > reported.incarnation()) {
			reported = new Reported(incarnation, new HashMap<>());
			this.reportedByDaemon.put(daemon, reported);
		}
		if (incarnation < reported.incarnation()) {
			return;
		}
		Map<String, Long> known = reported.millisByService();
		millisByService.forEach((service, millis) -> {
			long growth = millis - known.getOrDefault(service, 0L);
			if (growth > 0) {
				known.put(service, millis);
				this.totals.merge(service, growth, Long::sum);
			}
		});
	}

	/**
	 * Returns the engine time of a service that was reported so far.
	 * @param service the name of the service
	 * @return the time in milliseconds
	 */
	public synchronized long totalMillis(String service) {
		return this.totals.getOrDefault(service, 0L);
	}

	private record Reported(long incarnation, Map<String, Long> millisByService) {

	}

}
