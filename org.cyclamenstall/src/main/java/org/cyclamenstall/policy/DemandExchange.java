package org.cyclamenstall.policy;

import java.util.Set;

/**
 * Connects the shares of fleet-wide limits with the exchange among peers. Thread-safe; no
 * method blocks.
 */
public interface DemandExchange {

	/**
	 * Returns the demand of this daemon.
	 * @return the report
	 */
	DemandReport localDemand();

	/**
	 * Takes the demand of another daemon; replaces its earlier report.
	 * @param host the name of its host
	 * @param report its report
	 */
	void peerDemand(String host, DemandReport report);

	/**
	 * Takes the names of the daemons that are alive, this one included. A daemon that is
	 * missing has no share any more.
	 * @param hosts the names of their hosts
	 */
	void liveHosts(Set<String> hosts);

}
