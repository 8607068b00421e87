package org.cyclamenstall.internal.peers;

import java.util.List;

/**
 * Selects every peer in every round. The cost of a round therefore grows with the number
 * of daemons. Stateless and thread-safe.
 */
public final class AllPeers implements PeerSelection {

	@Override
	public List<String> select(List<String> hosts) {
		return hosts;
	}

}
