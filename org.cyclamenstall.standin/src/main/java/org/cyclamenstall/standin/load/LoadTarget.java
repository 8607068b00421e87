package org.cyclamenstall.standin.load;

import java.net.InetSocketAddress;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * The deployment under load. Thread-safe.
 */
interface LoadTarget extends AutoCloseable {

	/**
	 * Returns the addresses on which the daemons accept callers.
	 * @return the addresses
	 */
	List<InetSocketAddress> daemons();

	/**
	 * Returns the counts of the engines since they were started.
	 * @return the counts, summed over all engines, or {@code null} if the engines are not
	 * available
	 */
	@Nullable EngineCounts engineCounts();

	/**
	 * Starts a fault.
	 * @param fault the fault
	 */
	void startFault(Scenario.ScheduledFault fault);

	/**
	 * Ends a fault; not called for {@link FaultKind#KILL_DAEMON}.
	 * @param fault the fault
	 */
	void endFault(Scenario.ScheduledFault fault);

	@Override
	void close();

}
