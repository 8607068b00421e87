package org.cyclamenstall.internal.peers;

import java.util.List;

/**
 * Selects the peers to contact in a round of exchanges. Called by one thread at a time.
 */
public interface PeerSelection {

	/**
	 * Selects peers.
	 * @param hosts the host names of the candidates, sorted
	 * @return the selected host names, without duplicates
	 */
	List<String> select(List<String> hosts);

}
