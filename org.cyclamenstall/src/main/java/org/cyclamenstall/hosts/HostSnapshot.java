package org.cyclamenstall.hosts;

import java.util.List;
import java.util.Map;

/**
 * Holds the hosts of every watched service. Immutable.
 *
 * @param hostsByService the hosts by service name
 */
public record HostSnapshot(Map<String, List<ListedHost>> hostsByService) {

	/** Snapshot without hosts. */
	public static final HostSnapshot EMPTY = new HostSnapshot(Map.of());

	/**
	 * Returns the hosts of a service.
	 * @param service the name of the service
	 * @return its live and leaving hosts; empty if the service is unknown
	 */
	public List<ListedHost> hosts(String service) {
		return this.hostsByService.getOrDefault(service, List.of());
	}

}
