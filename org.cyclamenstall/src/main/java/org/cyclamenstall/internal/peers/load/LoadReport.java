package org.cyclamenstall.internal.peers.load;

import java.util.List;

import org.cyclamenstall.internal.policy.quarantine.QuarantineReport;

/**
 * Reports the work that a daemon has at all upstreams. Immutable.
 *
 * @param sender the daemon that reports
 * @param incarnation the start time of the daemon, in milliseconds since the epoch
 * @param sequence the number of the report, which increases within an incarnation
 * @param loads the work at each upstream that has any
 * @param members some of the other daemons that the sender hears from
 * @param relay whether the receiver forwards the report, with its own next one, to the
 * daemons of its failure domain
 * @param leaving whether the sender is shutting down and reports for the last time
 * @param quarantine what the sender knows of prompt parts that crash upstreams
 */
public record LoadReport(LoadEndpoint sender, long incarnation, long sequence, List<UpstreamLoad> loads,
		List<LoadEndpoint> members, boolean relay, boolean leaving, QuarantineReport quarantine) {

	/**
	 * Creates a report without prompt parts.
	 * @param sender the daemon that reports
	 * @param incarnation the start time of the daemon
	 * @param sequence the number of the report
	 * @param loads the work at each upstream that has any
	 * @param members some of the other daemons that the sender hears from
	 * @param relay whether the receiver forwards the report
	 * @param leaving whether the sender is shutting down
	 */
	public LoadReport(LoadEndpoint sender, long incarnation, long sequence, List<UpstreamLoad> loads,
			List<LoadEndpoint> members, boolean relay, boolean leaving) {
		this(sender, incarnation, sequence, loads, members, relay, leaving, QuarantineReport.EMPTY);
	}

	/**
	 * Returns this report for a receiver to which it is relayed.
	 * @param heldMillis the time for which it was held, in milliseconds
	 * @return the report
	 */
	public LoadReport relayedAfter(long heldMillis) {
		return new LoadReport(this.sender, this.incarnation, this.sequence, this.loads, this.members, false,
				this.leaving, this.quarantine.aged(heldMillis));
	}

	/**
	 * Returns this report for a receiver that relays it or does not.
	 * @param newRelay whether the receiver forwards the report
	 * @return the report
	 */
	public LoadReport withRelay(boolean newRelay) {
		return new LoadReport(this.sender, this.incarnation, this.sequence, this.loads, this.members, newRelay,
				this.leaving, this.quarantine);
	}

}
