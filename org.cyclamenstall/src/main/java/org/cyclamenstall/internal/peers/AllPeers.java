package org.cyclamenstall.internal.peers;

import java.util.List;

/**
 * Chooses every peer in every round. The cost grows with the number of daemons. Stateless
 * and therefore thread-safe.
 */
public final class AllPeers implements PeerSelection {

	@Override
	public List<String> select(List<String> hosts) {
		return hosts;
	}

}
