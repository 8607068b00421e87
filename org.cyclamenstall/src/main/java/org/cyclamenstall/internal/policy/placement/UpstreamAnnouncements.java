package org.cyclamenstall.internal.policy.placement;

import java.util.LinkedHashMap;
import java.util.Map;

import org.cyclamenstall.hosts.ListedHost;
import org.jspecify.annotations.Nullable;

/**
 * Holds what the upstreams of a service have said of themselves in their responses. It is
 * kept apart from the listed hosts, because an upstream that said that it leaves may
 * still be listed as live, or disappear from the list and come back. An announcement
 * belongs to one incarnation. The oldest ones are forgotten beyond a maximum number. Not
 * thread-safe: guarded by the lock of the controller.
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

		Announcement(long incarnation) {
			this.incarnation = incarnation;
		}

	}

}
