package org.cyclamenstall.hosts;

import java.util.function.Consumer;

/**
 * Gives the platform's list of hosts. While the platform is unreachable the last list
 * stands. Thread-safe.
 */
public interface HostList {

	/**
	 * Returns the last list that was read.
	 * @return the current snapshot
	 */
	HostSnapshot current();

	/**
	 * Adds a listener that is called with each changed snapshot.
	 * @param listener the listener
	 */
	void addListener(Consumer<HostSnapshot> listener);

	/**
	 * Adds a service to those that are read from the platform.
	 * @param service the name of the service
	 */
	void watch(String service);

}
