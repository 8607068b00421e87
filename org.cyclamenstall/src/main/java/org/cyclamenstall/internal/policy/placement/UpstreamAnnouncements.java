package org.cyclamenstall.internal.policy.placement;

import java.util.LinkedHashMap;
import java.util.Map;

import org.cyclamenstall.hosts.ListedHost;
import org.jspecify.annotations.Nullable;

/**
 * Holds what the upstreams of a service have said of themselves in their responses. It is
 * kept apart from the listed hosts, because an upstream that said that it leaves may
 * still be listed as live, or disappear from the list and come back. An announcement
 * belongs to one incarnation. Times are on the monotonic clock, so after a suspension of
 * this host an upstream is left alone for longer than it asked for. The oldest ones are
 * forgotten beyond a maximum number. Not thread-safe: guarded by the lock of the
 * controller.
 */
final class UpstreamAnnouncements {

	private static final int MAXIMUM_UPSTREAMS = 4_096;

	private final Map<String, Announcement> byHost = new LinkedHashMap<>();

	/**
	 * Records that an upstream leaves.
	 * @param host the host to which the attempt was granted
	 * @return {@code true} if this is new
	 */
	boolean recordLeaving(ListedHost host) {
		Announcement announcement = announcement(host);
		boolean isNew = !announcement.leaving;
		announcement.leaving = true;
		return isNew;
	}

	boolean isLeaving(ListedHost host) {
		Announcement known = find(host);
		return known != null && known.leaving;
	}

	/**
	 * Records that an upstream wants no requests for a time. Lengthens an earlier time,
	 * and does not shorten it.
	 * @param host the host to which the attempt was granted
	 * @param untilNanos the end of the time on the monotonic clock
	 */
	void recordUnavailable(ListedHost host, long untilNanos) {
		Announcement announcement = announcement(host);
		if (!announcement.unavailable || untilNanos - announcement.unavailableUntilNanos > 0) {
			announcement.unavailable = true;
			announcement.unavailableUntilNanos = untilNanos;
		}
	}

	/**
	 * Records that a request was executed, which ends the return of an upstream.
	 * @param host the host to which the attempt was granted
	 * @param nowNanos the time on the monotonic clock
	 */
	void recordSuccess(ListedHost host, long nowNanos) {
		Announcement known = find(host);
		if (known != null && remainingUnavailableNanos(host, nowNanos) == 0) {
			known.unavailable = false;
		}
	}

	/**
	 * Returns for how long an upstream wants no requests.
	 * @param host the host
	 * @param nowNanos the time on the monotonic clock
	 * @return the time in nanoseconds, or zero
	 */
	long remainingUnavailableNanos(ListedHost host, long nowNanos) {
		Announcement known = find(host);
		return (known != null && known.unavailable) ? Math.max(0, known.unavailableUntilNanos - nowNanos) : 0;
	}

	/**
	 * Returns whether an upstream was unavailable and has not executed a request since.
	 * It gets one request at a time, so that its return is no rush.
	 * @param host the host
	 * @return {@code true} also while it is still unavailable
	 */
	boolean isReturning(ListedHost host) {
		Announcement known = find(host);
		return known != null && known.unavailable;
	}

	private Announcement announcement(ListedHost host) {
		Announcement known = find(host);
		if (known != null) {
			return known;
		}
		Announcement announcement = new Announcement(host.incarnation());
		this.byHost.put(host.host(), announcement);
		if (this.byHost.size() > MAXIMUM_UPSTREAMS) {
			this.byHost.remove(this.byHost.keySet().iterator().next());
		}
		return announcement;
	}

	private @Nullable Announcement find(ListedHost host) {
		Announcement known = this.byHost.get(host.host());
		return (known != null && known.incarnation == host.incarnation()) ? known : null;
	}

	private static final class Announcement {

		private final long incarnation;

		private boolean leaving;

		private boolean unavailable;

		private long unavailableUntilNanos;

		Announcement(long incarnation) {
			this.incarnation = incarnation;
		}

	}

}
