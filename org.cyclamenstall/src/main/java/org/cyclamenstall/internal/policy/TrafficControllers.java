package org.cyclamenstall.internal.policy;

import java.util.Optional;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenstall.catalogue.Catalogue;
import org.cyclamenstall.catalogue.CatalogueRecord;
import org.cyclamenstall.catalogue.CatalogueView;
import org.cyclamenstall.hosts.HostList;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.settings.PolicySettings;

/**
 * Creates a {@link PolicyTrafficController} and connects it to the catalogue, the host
 * list and the metrics.
 */
public final class TrafficControllers {

	private TrafficControllers() {
	}

	/**
	 * Creates a controller that logs its decisions as JSON.
	 * @param settings the policy settings
	 * @param catalogue the catalogue, whose upstream services are watched
	 * @param hosts the host list of the platform
	 * @param failureDomain the failure domain of this daemon
	 * @param clock the monotonic clock
	 * @param random the source of randomness
	 * @param metrics the registry of metrics
	 * @return the controller
	 */
	public static PolicyTrafficController create(PolicySettings settings, CatalogueView catalogue, HostList hosts,
			String failureDomain, MonotonicClock clock, UniformRandomProvider random, PrometheusRegistry metrics) {
		return create(settings, catalogue, hosts, failureDomain, clock, random, metrics, new JsonDecisionLog());
	}

	/**
	 * Creates a controller.
	 * @param settings the policy settings
	 * @param catalogue the catalogue, whose upstream services are watched
	 * @param hosts the host list of the platform
	 * @param failureDomain the failure domain of this daemon
	 * @param clock the monotonic clock
	 * @param random the source of randomness
	 * @param metrics the registry of metrics
	 * @param log the log that receives each decision
	 * @return the controller
	 */
	public static PolicyTrafficController create(PolicySettings settings, CatalogueView catalogue, HostList hosts,
			String failureDomain, MonotonicClock clock, UniformRandomProvider random, PrometheusRegistry metrics,
			DecisionLog log) {
		PolicyFactory policies = new PolicyFactory(settings, failureDomain, random);
		PolicyMetrics policyMetrics = new PolicyMetrics(metrics);
		PolicyTrafficController controller = new PolicyTrafficController(policies, clock, policyMetrics, log);
		policyMetrics.registerGauges(metrics, controller);
		controller.updateHosts(hosts.current());
		hosts.addListener(controller::updateHosts);
		watchServices(catalogue.current(), hosts, controller);
		catalogue.addListener((updated) -> watchServices(updated, hosts, controller));
		return controller;
	}

	/**
	 * Starts watching the upstream services of a catalogue and creates their pools. The
	 * host list calls the controller while holding its own lock, so the lock of the
	 * controller must not be held during a call of the host list.
	 * @param catalogue the catalogue
	 * @param hosts the host list
	 * @param controller the controller
	 */
	private static void watchServices(Catalogue catalogue, HostList hosts, PolicyTrafficController controller) {
		catalogue.records()
			.stream()
			.map(CatalogueRecord::entry)
			.flatMap((entry) -> Optional.ofNullable(entry).stream())
			.flatMap((entry) -> Optional.ofNullable(entry.upstreams()).stream())
			.distinct()
			.forEach((service) -> {
				hosts.watch(service);
				controller.addService(service);
			});
	}

}
