package org.cyclamenstall.internal.operators;

import java.util.List;

/**
 * Gives the upstreams as the daemon sees them. Thread-safe.
 */
@FunctionalInterface
public interface UpstreamReport {

	/**
	 * Returns one row for each upstream.
	 * @return the rows in order of service and host
	 */
	List<UpstreamRow> rows();

}
