package org.cyclamenstall.standin.load;

import java.net.InetSocketAddress;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Load target that consists of already running daemons, given by address. Faults are not
 * supported. Immutable.
 */
final class ExternalTarget implements LoadTarget {

	private final List<InetSocketAddress> daemons;

	ExternalTarget(List<InetSocketAddress> daemons) {
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
	public void startFault(Scenario.ScheduledFault fault) {
		throw new UnsupportedOperationException("scheduled faults are supported only for the embedded deployment");
	}

	@Override
	public void endFault(Scenario.ScheduledFault fault) {
		throw new UnsupportedOperationException("scheduled faults are supported only for the embedded deployment");
	}

	@Override
	public void close() {
		// The daemons were not started by this program, so they keep running.
	}

}
