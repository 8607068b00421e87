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
	 * Updates the set of daemons that share the limits. These are the live daemons and,
	 * while this daemon may be in a minority partition, those suspected to have failed.
	 * @param hosts the host names of the daemons, including this one
	 */
	void updateHostsSharingLimits(Set<String> hosts);

}
