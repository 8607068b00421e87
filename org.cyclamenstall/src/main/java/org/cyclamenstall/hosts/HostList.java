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
	 * Adds a listener that is called with the new snapshot whenever the list changes.
	 * @param listener the listener
	 */
	void addListener(Consumer<HostSnapshot> listener);

	/**
	 * Adds a service to the watched ones.
	 * @param service the name of the service
	 */
	void watch(String service);

}
