package org.cyclamenstall.internal.catalogue;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;

import org.apache.commons.codec.digest.MurmurHash3;
import org.cyclamenstall.peers.Member;
import org.cyclamenstall.peers.MemberState;

/**
 * Selects by rendezvous hashing the daemons that watch the {@link CatalogueHead head} of
 * the catalogue with blocking queries: all daemons of a small deployment, otherwise a few
 * in each failure domain. Daemons with different views of the membership may select
 * differently, which only costs a few more reads. Stateless.
 */
public final class WatcherSelection {

	/** The maximum number of live daemons at which all of them watch the head. */
	public static final int SMALL_DEPLOYMENT_SIZE = 8;

	/**
	 * The number of daemons per failure domain that watch the head of a larger
	 * deployment.
	 */
	public static final int WATCHERS_PER_FAILURE_DOMAIN = 2;

	private WatcherSelection() {
	}

	/**
	 * Returns whether a daemon watches the head.
	 * @param self the daemon
	 * @param members all daemons that it knows
	 * @return {@code true} if the daemon is selected
	 */
	public static boolean isWatcher(Member self, List<Member> members) {
		List<Member> liveMembers = members.stream()
			.filter((member) -> member.state() == MemberState.ALIVE || member.host().equals(self.host()))
			.toList();
		if (liveMembers.size() <= SMALL_DEPLOYMENT_SIZE) {
			return true;
		}
		return liveMembers.stream()
			.filter((member) -> member.failureDomain().equals(self.failureDomain()))
			.sorted(Comparator.comparingLong(WatcherSelection::weight).reversed())
			.limit(WATCHERS_PER_FAILURE_DOMAIN)
			.anyMatch((member) -> member.host().equals(self.host()));
	}

	private static long weight(Member member) {
		return MurmurHash3.hash128x64(("catalogue-head/" + member.host()).getBytes(StandardCharsets.UTF_8))[0];
	}

}
