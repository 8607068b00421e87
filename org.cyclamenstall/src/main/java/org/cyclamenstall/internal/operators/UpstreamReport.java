package org.cyclamenstall.internal.operators;

import java.util.List;

/**
 * Lists the upstreams with their current state on this daemon. Thread-safe.
 */
@FunctionalInterface
public interface UpstreamReport {

	/**
	 * Returns one row for each upstream.
	 * @return the rows, sorted by service and host
	 */
	List<UpstreamRow> rows();

}
