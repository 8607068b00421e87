package org.cyclamenstall.policy;

import java.util.Set;

/**
 * Exchanges demand reports with the other daemons, so that each daemon can compute its
 * share of the fleet-wide limits. Thread-safe; no method blocks.
 */
public interface DemandExchange {

	/**
	 * Creates the demand report that this daemon sends to the others.
	 * @return the report
	 */
	DemandReport createDemandReport();

	/**
	 * Stores the demand report of another daemon, replacing its previous report.
	 * @param host the host name of the daemon
	 * @param report the report
	 */
	void updatePeerDemand(String host, DemandReport report);

	/**
	 * Updates the set of live daemons. A daemon that is not in the set no longer counts
	 * when limits are shared.
	 * @param hosts the host names of the live daemons, including this one
	 */
	void updateLiveHosts(Set<String> hosts);

}
