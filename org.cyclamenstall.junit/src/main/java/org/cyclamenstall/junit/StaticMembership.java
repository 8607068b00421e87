package org.cyclamenstall.junit;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.cyclamenstall.peers.Member;
import org.cyclamenstall.peers.MemberState;
import org.cyclamenstall.peers.Membership;

/**
 * Holds the daemons that a test names. Thread-safe.
 */
public final class StaticMembership implements Membership {

	private static final int PORT = 7000;

	private final Map<String, Member> members = new ConcurrentHashMap<>();

	private final String self;

	/**
	 * Creates a membership of one daemon.
	 * @param self the name of the host of this daemon
	 */
	public StaticMembership(String self) {
		this.self = self;
		put(self, MemberState.ALIVE, 0);
	}

	/**
	 * Adds a daemon or replaces it.
	 * @param host the name of its host
	 * @param state what is known of it
	 * @param catalogueRevision the catalogue revision that it reports
	 */
	public void put(String host, MemberState state, long catalogueRevision) {
		this.members.put(host, new Member(host, 1, "domain-a", "127.0.0.1", PORT, state, catalogueRevision));
	}

	@Override
	public Member self() {
		return this.members.get(this.self);
	}

	@Override
	public List<Member> members() {
		return this.members.values().stream().sorted(Comparator.comparing(Member::host)).toList();
	}

}
