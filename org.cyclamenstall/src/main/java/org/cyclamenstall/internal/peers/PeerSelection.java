package org.cyclamenstall.internal.peers;

import java.util.List;

/**
 * Chooses the peers of one round of exchanges. Called from one thread at a time.
 */
public interface PeerSelection {

	/**
	 * Chooses from the peers that may be contacted.
	 * @param hosts the names of the hosts, ordered
	 * @return the chosen names, without repetition
	 */
	List<String> select(List<String> hosts);

}
