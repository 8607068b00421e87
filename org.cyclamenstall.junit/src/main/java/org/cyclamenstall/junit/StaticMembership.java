package org.cyclamenstall.junit;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.cyclamenstall.peers.Member;
import org.cyclamenstall.peers.MemberState;
import org.cyclamenstall.peers.Membership;

/**
 * Implements a membership whose members are set by the test. Thread-safe.
 */
public final class StaticMembership implements Membership {

	private static final int PEER_PORT = 7000;

	private final Map<String, Member> members = new ConcurrentHashMap<>();

	private final String self;

	/**
	 * Creates a membership that contains only the local daemon.
	 * @param self the host name of the local daemon
	 */
	public StaticMembership(String self) {
		this.self = self;
		put(self, MemberState.ALIVE, 0);
	}

	/**
	 * Adds or replaces a member.
	 * @param host the host name of the member
	 * @param state the state of the member
	 * @param catalogueRevision the catalogue revision that the member reports
	 */
	public void put(String host, MemberState state, long catalogueRevision) {
		this.members.put(host, new Member(host, 1, "domain-a", "127.0.0.1", PEER_PORT, state, catalogueRevision));
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
