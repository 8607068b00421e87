package org.cyclamenstall.internal.metering;

import java.util.List;
import java.util.Map;

import org.cyclamenstall.internal.peers.load.LoadEndpoint;
import org.jspecify.annotations.Nullable;

/**
 * Message between a daemon and those that collect counts. Immutable.
 *
 * @param sender the daemon that sends
 * @param incarnation its start time, in milliseconds since the epoch
 * @param timeMillis its time of day, in milliseconds since the epoch
 * @param windows its counts by window and client account; empty from the leader
 * @param engineMillis the engine time of its requests since its start, in milliseconds,
 * by service
 * @param notice what the leader tells, or {@code null} from another daemon
 */
record MeteringMessage(LoadEndpoint sender, long incarnation, long timeMillis, Map<Long, Map<String, Integer>> windows,
		Map<String, Long> engineMillis, @Nullable Notice notice) {

	/**
	 * What the leader tells the other daemons. Immutable.
	 *
	 * @param token the fencing token of the leader
	 * @param timeMillis the time on which the daemons agree, in milliseconds since the
	 * epoch
	 * @param standbys the daemons that collect the counts as well as the leader
	 */
	record Notice(long token, long timeMillis, List<LoadEndpoint> standbys) {

	}

}
