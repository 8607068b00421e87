package org.cyclamenstall.routes;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * Provides the active route table of this daemon. The version of the table never
 * decreases. Thread-safe.
 */
public interface RouteTableView {

	/**
	 * Returns the active route table.
	 * @return the table, or empty if none was loaded since the start
	 */
	Optional<RouteTable> current();

	/**
	 * Adds a listener that is called with each new table, in order of version.
	 * @param listener the listener
	 */
	void addListener(Consumer<RouteTable> listener);

}
