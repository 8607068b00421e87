package org.cyclamenstall.internal.metering;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.cyclamenstall.internal.peers.load.LoadEndpoint;

/**
 * Holds the counts that the daemons have sent, by daemon, incarnation, window and client
 * account. The counts of a daemon only grow, so of several messages the highest count is
 * the newest, in whatever order and however often they arrive. Counts of a daemon that is
 * gone are kept. Thread-safe.
 */
public final class CollectedCounts {

	private final TreeMap<Long, Map<Source, Map<String, Integer>>> countsByWindow = new TreeMap<>();

	/**
	 * Merges counts of a daemon.
	 * @param daemon the daemon
	 * @param incarnation its start time, in milliseconds since the epoch
	 * @param window the number of the window
	 * @param counts the counts by account
	 */
	public synchronized void merge(LoadEndpoint daemon, long incarnation, long window, Map<String, Integer> counts) {
		Map<String, Integer> known = this.countsByWindow.computeIfAbsent(window, (number) -> new HashMap<>())
			.computeIfAbsent(new Source(daemon, incarnation), (source) -> new HashMap<>());
		counts.forEach((account, count) -> known.merge(account, count, Math::max));
	}

	/**
	 * Returns the sums of the counts of all daemons.
	 * @param window the number of the window
	 * @return the sums by account, sorted by account
	 */
	public synchronized Map<String, Long> totals(long window) {
		Map<String, Long> totals = new TreeMap<>();
		for (Map<String, Integer> counts : this.countsByWindow.getOrDefault(window, Map.of()).values()) {
			counts.forEach((account, count) -> totals.merge(account, (long) count, Long::sum));
		}
		return totals;
	}

	/**
	 * Returns the windows of which any daemon has sent counts, even if there were no
	 * requests.
	 * @return a copy of the numbers
	 */
	public synchronized Set<Long> windows() {
		return new TreeSet<>(this.countsByWindow.keySet());
	}

	/**
	 * Forgets old windows, and those that lie so far ahead that only a wrong clock
	 * explains them.
	 * @param oldestWindow the oldest window to keep
	 * @param newestWindow the newest window to keep
	 */
	public synchronized void retain(long oldestWindow, long newestWindow) {
		this.countsByWindow.headMap(oldestWindow).clear();
		this.countsByWindow.tailMap(newestWindow, false).clear();
	}

	private record Source(LoadEndpoint daemon, long incarnation) {

	}

}
