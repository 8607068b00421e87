package org.cyclamenstall.hosts;

import java.util.function.Consumer;

/**
 * Provides the hosts of each watched service as listed by the platform, for example by
 * Consul. While the platform is unreachable, the last list is kept. Thread-safe.
 */
public interface HostList {

	/**
	 * Returns the hosts of all watched services as last read from the platform.
	 * @return the current snapshot
	 */
	HostSnapshot current();

	/**
	 * Adds a listener that is called with each new snapshot when the list changes. It is
	 * not called with the current one.
	 * @param listener the listener
	 */
	void addListener(Consumer<HostSnapshot> listener);

	/**
	 * Starts watching a service unless it is watched already. Does not wait for its
	 * hosts, which appear in a later snapshot.
	 * @param service the name of the service
	 */
	void watch(String service);

}
