package org.cyclamenstall.internal.catalogue;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;

import org.apache.commons.codec.digest.MurmurHash3;
import org.cyclamenstall.peers.Member;
import org.cyclamenstall.peers.MemberState;

/**
 * Chooses by rendezvous hashing the daemons that keep a waiting read of the head: all of
 * a small deployment, else a few in each failure domain. Daemons that see different
 * members may choose differently, which costs a few reads and nothing else. Has no state.
 */
public final class WatcherSelection {

	/** The number of live daemons up to which all of them wait on the store. */
	public static final int SMALL_DEPLOYMENT = 8;

	/** The number of daemons in each failure domain that wait on the store. */
	public static final int WATCHERS_PER_FAILURE_DOMAIN = 2;

	private WatcherSelection() {
	}

	/**
	 * Returns whether a daemon keeps a waiting read.
	 * @param self the daemon
	 * @param members all daemons that it knows
	 * @return {@code true} if it waits on the store
	 */
	public static boolean isWatcher(Member self, List<Member> members) {
		List<Member> live = members.stream()
			.filter((member) -> member.state() == MemberState.ALIVE || member.host().equals(self.host()))
			.toList();
		if (live.size() <= SMALL_DEPLOYMENT) {
			return true;
		}
		return live.stream()
			.filter((member) -> member.failureDomain().equals(self.failureDomain()))
			.sorted(Comparator.comparingLong(WatcherSelection::weight).reversed())
			.limit(WATCHERS_PER_FAILURE_DOMAIN)
			.anyMatch((member) -> member.host().equals(self.host()));
	}

	private static long weight(Member member) {
		return MurmurHash3.hash128x64(("catalogue-head/" + member.host()).getBytes(StandardCharsets.UTF_8))[0];
	}

}
