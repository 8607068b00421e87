package org.cyclamenstall.standin.load;

import java.net.InetSocketAddress;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Holds the deployment that a run is sent to. Thread-safe.
 */
interface LoadTarget extends AutoCloseable {

	/**
	 * Returns the callers' ports of the daemons.
	 * @return the addresses
	 */
	List<InetSocketAddress> daemons();

	/**
	 * Returns the work of the engines so far.
	 * @return the counts, or {@code null} if the engines are not at hand
	 */
	@Nullable EngineCounts engineCounts();

	/**
	 * Brings about a fault.
	 * @param fault the fault
	 */
	void begin(Scenario.ScheduledFault fault);

	/**
	 * Ends a fault.
	 * @param fault the fault
	 */
	void end(Scenario.ScheduledFault fault);

	@Override
	void close();

}
