package org.cyclamenstall.internal.metering;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.cyclamenstall.internal.peers.load.LoadEndpoint;

/**
 * Tracks the daemons that send counts to this one, and selects the standbys of the leader
 * among them. Not thread-safe. Times are on a clock that includes suspension.
 */
final class MeteringMembers {

	/** Age after which a daemon that is silent counts as gone. */
	private static final long EXPIRY_NANOS = Duration.ofSeconds(2).toNanos();

	private static final int STANDBYS = 2;

	private static final Comparator<LoadEndpoint> BY_ADDRESS = Comparator
		.comparing((endpoint) -> endpoint.address().getAddress().getHostAddress() + ":" + endpoint.address().getPort());

	private final Map<LoadEndpoint, Member> members = new HashMap<>();

	private final LoadEndpoint self;

	MeteringMembers(LoadEndpoint self) {
		this.self = self;
	}

	void recordHeard(LoadEndpoint daemon, long nowNanos) {
		if (!daemon.equals(this.self)) {
			this.members.put(daemon, new Member(daemon, nowNanos));
		}
	}

	/**
	 * Returns the daemons that were heard lately.
	 * @param nowNanos the time
	 * @return the daemons, sorted by address
	 */
	List<LoadEndpoint> current(long nowNanos) {
		this.members.values().removeIf((member) -> nowNanos - member.heardAtNanos() > EXPIRY_NANOS);
		return this.members.values().stream().map(Member::endpoint).sorted(BY_ADDRESS).toList();
	}

	/**
	 * Selects the standbys: the first daemon by address of each other failure domain, and
	 * further ones if there are too few domains.
	 * @param nowNanos the time
	 * @return the standbys in the order in which they take over
	 */
	List<LoadEndpoint> standbys(long nowNanos) {
		List<LoadEndpoint> candidates = new ArrayList<>(current(nowNanos));
		List<LoadEndpoint> selected = new ArrayList<>();
		List<String> domains = new ArrayList<>(List.of(this.self.failureDomain()));
		for (LoadEndpoint candidate : candidates) {
			if (selected.size() < STANDBYS && !domains.contains(candidate.failureDomain())) {
				selected.add(candidate);
				domains.add(candidate.failureDomain());
			}
		}
		candidates.removeAll(selected);
		while (selected.size() < STANDBYS && !candidates.isEmpty()) {
			selected.add(candidates.remove(0));
		}
		return selected;
	}

	private record Member(LoadEndpoint endpoint, long heardAtNanos) {

	}

}
