package org.cyclamenstall.internal.policy;

import java.util.Locale;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.policy.RetryDecision;
import org.cyclamenstall.policy.RetryReason;

/**
 * Registers and updates the metrics of the traffic controller. Thread-safe.
 */
final class PolicyMetrics {

	private static final double NANOS_PER_SECOND = 1e9;

	private static final double[] WAIT_BUCKETS_SECONDS = { 0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30,
			60, 300 };

	private final Counter refusals;

	private final Counter retries;

	private final Counter decisions;

	private final Histogram waits;

	PolicyMetrics(PrometheusRegistry registry) {
		this.refusals = Counter.builder()
			.name("cyclamenstall_policy_refusals_total")
			.help("Requests refused by the traffic controller")
			.labelNames("reason", "class")
			.register(registry);
		this.retries = Counter.builder()
			.name("cyclamenstall_policy_retries_total")
			.help("Requests for another attempt, by reason and decision")
			.labelNames("reason", "decision")
			.register(registry);
		this.decisions = Counter.builder()
			.name("cyclamenstall_policy_decisions_total")
			.help("Decisions of the traffic controller on requests")
			.labelNames("decision", "class")
			.register(registry);
		this.waits = Histogram.builder()
			.name("cyclamenstall_queue_wait_seconds")
			.help("Time from the submission or retry of a request to the grant")
			.labelNames("class")
			.classicOnly()
			.classicUpperBounds(WAIT_BUCKETS_SECONDS)
			.register(registry);
	}

	void registerGauges(PrometheusRegistry registry, PolicyTrafficController controller) {
		GaugeWithCallback.builder()
			.name("cyclamenstall_queue_length")
			.help("Requests in the queue")
			.labelNames("upstreams", "class")
			.callback((callback) -> controller.inspect((pools) -> pools.reportQueueLengths(callback::call)))
			.register(registry);
		GaugeWithCallback.builder()
			.name("cyclamenstall_upstream_in_flight")
			.help("Requests of this daemon in flight at the upstream")
			.labelNames("upstream")
			.callback((callback) -> controller.inspect((pools) -> pools.reportInFlight(callback::call)))
			.register(registry);
		GaugeWithCallback.builder()
			.name("cyclamenstall_upstream_window")
			.help("Maximum number of concurrent requests of this daemon at the upstream")
			.labelNames("upstream")
			.callback((callback) -> controller.inspect((pools) -> pools.reportWindows(callback::call)))
			.register(registry);
	}

	void recordRefusal(ErrorKind kind, Tier tier) {
		this.refusals.labelValues(kind.code(), tier.label()).inc();
	}

	void recordRetry(RetryReason reason, RetryDecision decision) {
		this.retries.labelValues(reason.label(), decision.name().toLowerCase(Locale.ROOT).replace('_', '-')).inc();
	}

	void recordDecision(DecisionType type, Tier tier) {
		this.decisions.labelValues(type.label(), tier.label()).inc();
	}

	void recordWait(long nanos, Tier tier) {
		this.waits.labelValues(tier.label()).observe(nanos / NANOS_PER_SECOND);
	}

}
