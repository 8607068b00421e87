package org.cyclamenstall.peers;

import java.util.List;

/**
 * Provides the daemons of this deployment, including this one. Thread-safe.
 */
public interface Membership {

	/**
	 * Returns this daemon.
	 * @return the member with the current state and catalogue revision of this daemon
	 */
	Member self();

	/**
	 * Returns all known daemons, including this one.
	 * @return the members, sorted by host name
	 */
	List<Member> members();

}
