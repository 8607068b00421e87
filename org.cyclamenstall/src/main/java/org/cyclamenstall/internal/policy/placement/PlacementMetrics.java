package org.cyclamenstall.internal.policy.placement;

import java.util.Locale;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.Unit;
import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.policy.RetryDecision;
import org.cyclamenstall.policy.RetryReason;

/**
 * Records retry decisions and waiting times of a placement controller. Thread-safe.
 */
final class PlacementMetrics {

	private static final double NANOS_PER_SECOND = 1e9;

	private static final double[] WAIT_BUCKETS_SECONDS = { 0.001, 0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10 };

	private final Counter retries;

	private final Histogram waitTimes;

	private final Counter quarantineRefusals;

	PlacementMetrics(PrometheusRegistry registry) {
		this.retries = Counter.builder()
			.name("cyclamenstall_placement_retries_total")
			.help("Requested retries, by reason and decision.")
			.labelNames("reason", "decision")
			.register(registry);
		this.waitTimes = Histogram.builder()
			.name("cyclamenstall_placement_wait_seconds")
			.help("Time from the arrival of a request to its first attempt, by class.")
			.unit(Unit.SECONDS)
			.labelNames("class")
			.classicOnly()
			.classicUpperBounds(WAIT_BUCKETS_SECONDS)
			.register(registry);
		this.quarantineRefusals = Counter.builder()
			.name("cyclamenstall_quarantine_refusals_total")
			.help("Requests that were refused because a part of their prompt crashes upstreams.")
			.register(registry);
	}

	void recordQuarantineRefusal() {
		this.quarantineRefusals.inc();
	}

	void recordRetry(RetryReason reason, RetryDecision decision) {
		this.retries.labelValues(reason.label(), decision.name().toLowerCase(Locale.ROOT).replace('_', '-')).inc();
	}

	void recordWait(Tier tier, long nanos) {
		this.waitTimes.labelValues(tier.label()).observe(nanos / NANOS_PER_SECOND);
	}

}
