package org.cyclamenstall.standin.load;

import java.util.Collection;

import org.cyclamenstall.standin.http.CallCounts;

/**
 * Counts of attempts and tokens, summed over all engines of a deployment. Immutable.
 *
 * @param received the number of attempts received
 * @param started the number of attempts that were assigned a slot
 * @param completed the number of attempts that generated all their tokens
 * @param cancelled the number of attempts that were cancelled
 * @param resumed the number of attempts that resumed the output of an earlier one
 * @param refused the number of attempts that were refused
 * @param tokensMade the number of tokens generated
 */
record EngineCounts(long received, long started, long completed, long cancelled, long resumed, long refused,
		long tokensMade) {

	static EngineCounts sum(Collection<CallCounts> all) {
		return new EngineCounts(sum(all, "received"), sum(all, "started"), sum(all, "completed"), sum(all, "cancelled"),
				sum(all, "resumed"), sum(all, "refused-full") + sum(all, "refused-draining"), sum(all, "tokens-made"));
	}

	EngineCounts since(EngineCounts earlier) {
		return new EngineCounts(this.received - earlier.received, this.started - earlier.started,
				this.completed - earlier.completed, this.cancelled - earlier.cancelled, this.resumed - earlier.resumed,
				this.refused - earlier.refused, this.tokensMade - earlier.tokensMade);
	}

	private static long sum(Collection<CallCounts> all, String kind) {
		return all.stream().mapToLong((counts) -> counts.get(kind)).sum();
	}

}
