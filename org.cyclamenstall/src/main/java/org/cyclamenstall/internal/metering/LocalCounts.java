package org.cyclamenstall.internal.metering;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.cyclamenstall.policy.RequestAttributes;
import org.cyclamenstall.policy.StartedRequests;

/**
 * Counts the requests of this daemon that upstreams began, by window and client account.
 * The counts of a window only grow. Requests without an account are not counted.
 * Thread-safe.
 */
public final class LocalCounts implements StartedRequests {

	private final TreeMap<Long, Map<String, Integer>> countsByWindow = new TreeMap<>();

	private final WindowSchedule schedule;

	private final FleetClock clock;

	/** Window in which this daemon started. */
	private final long firstWindow;

	/**
	 * Creates counts.
	 * @param schedule the windows
	 * @param clock the time on which the daemons agree
	 */
	public LocalCounts(WindowSchedule schedule, FleetClock clock) {
		this.schedule = schedule;
		this.clock = clock;
		this.firstWindow = schedule.windowAt(clock.millis());
	}

	@Override
	public void record(RequestAttributes attributes, long ageNanos) {
		if (attributes.hasAccount()) {
			long startedAtMillis = this.clock.millis() - TimeUnit.NANOSECONDS.toMillis(ageNanos);
			add(attributes.account().name(), this.schedule.windowAt(startedAtMillis));
		}
	}

	private synchronized void add(String account, long window) {
		this.countsByWindow.computeIfAbsent(window, (number) -> new HashMap<>()).merge(account, 1, Integer::sum);
	}

	/**
	 * Returns the counts of the windows whose reports may still be settled, since this
	 * daemon started, including those without requests.
	 * @return a copy of the counts by window and account
	 */
	public synchronized Map<Long, Map<String, Integer>> current() {
		long currentWindow = this.schedule.windowAt(this.clock.millis());
		long oldestWindow = Math.max(this.firstWindow, currentWindow - this.schedule.keptWindows() + 1);
		this.countsByWindow.headMap(oldestWindow).clear();
		Map<Long, Map<String, Integer>> copy = new TreeMap<>();
		for (long window = oldestWindow; window <= currentWindow; window++) {
			copy.put(window, Map.copyOf(this.countsByWindow.getOrDefault(window, Map.of())));
		}
		return copy;
	}

}
