package org.cyclamenstall.routes;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * Gives the routes in force on this daemon. Their version never goes back. Thread-safe.
 */
public interface RouteTableView {

	/**
	 * Returns the routes in force.
	 * @return the table, or empty if none was read since the start
	 */
	Optional<RouteTable> current();

	/**
	 * Adds a listener that is called with each newer table, in order of version.
	 * @param listener the listener
	 */
	void addListener(Consumer<RouteTable> listener);

}
