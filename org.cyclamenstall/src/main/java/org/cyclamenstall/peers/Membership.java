package org.cyclamenstall.peers;

import java.util.List;

/**
 * Gives the daemons of this deployment, this one included. Thread-safe.
 */
public interface Membership {

	/**
	 * Returns this daemon.
	 * @return this daemon
	 */
	Member self();

	/**
	 * Returns every daemon that is known, this one included.
	 * @return the members in order of host name
	 */
	List<Member> members();

}
