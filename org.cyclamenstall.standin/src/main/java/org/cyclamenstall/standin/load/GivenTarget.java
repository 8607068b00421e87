package org.cyclamenstall.standin.load;

import java.net.InetSocketAddress;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Holds daemons that run already, given by address. Brings about no faults. Immutable.
 */
final class GivenTarget implements LoadTarget {

	private final List<InetSocketAddress> daemons;

	GivenTarget(List<InetSocketAddress> daemons) {
		this.daemons = List.copyOf(daemons);
	}

	@Override
	public List<InetSocketAddress> daemons() {
		return this.daemons;
	}

	@Override
	public @Nullable EngineCounts engineCounts() {
		return null;
	}

	@Override
	public void begin(Scenario.ScheduledFault fault) {
		throw new UnsupportedOperationException("faults need the embedded deployment");
	}

	@Override
	public void end(Scenario.ScheduledFault fault) {
		throw new UnsupportedOperationException("faults need the embedded deployment");
	}

	@Override
	public void close() {
		// The daemons are not this program's to end.
	}

}
