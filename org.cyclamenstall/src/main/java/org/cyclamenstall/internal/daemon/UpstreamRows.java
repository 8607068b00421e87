package org.cyclamenstall.internal.daemon;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.cyclamenstall.hosts.HostList;
import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.internal.operators.UpstreamReport;
import org.cyclamenstall.internal.operators.UpstreamRow;
import org.cyclamenstall.kernel.ServiceRegistry;
import org.cyclamenstall.lib.ServiceNames;
import org.cyclamenstall.policy.DemandExchange;

/**
 * Joins the platform's list of hosts with the requests in flight. Thread-safe.
 */
final class UpstreamRows implements UpstreamReport {

	private final ServiceRegistry services;

	UpstreamRows(ServiceRegistry services) {
		this.services = services;
	}

	@Override
	public List<UpstreamRow> rows() {
		HostList hosts = this.services.find(ServiceNames.HOST_LIST, HostList.class);
		Map<String, Integer> inFlight = this.services.find(ServiceNames.TRAFFIC, DemandExchange.class)
			.localDemand()
			.inFlightByUpstream();
		return hosts.current()
			.hostsByService()
			.values()
			.stream()
			.flatMap(List::stream)
			.sorted(Comparator.comparing(ListedHost::service).thenComparing(ListedHost::host))
			.map((host) -> row(host, inFlight))
			.toList();
	}

	private static UpstreamRow row(ListedHost host, Map<String, Integer> inFlight) {
		String address = host.address() + ":" + host.port();
		return new UpstreamRow(host.service(), host.host(), address, host.failureDomain(),
				host.state().name().toLowerCase(Locale.ROOT), inFlight.getOrDefault(address, 0), 0, null);
	}

}
