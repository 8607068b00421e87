package org.cyclamenstall.internal.claims;

import java.util.Locale;
import java.util.function.IntSupplier;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.cyclamenstall.claims.ClaimDecision;

/**
 * Metrics of the claims of this daemon. Thread-safe.
 */
final class ClaimMetrics {

	private final Counter decisions;

	private final Counter settlements;

	private final Counter discardedResponses;

	ClaimMetrics(PrometheusRegistry registry, IntSupplier trackedClaims) {
		this.decisions = Counter.builder()
			.name("cyclamenstall_claims_total")
			.help("Decisions on requests with an idempotency key: granted, replayed or the code of the error")
			.labelNames("decision")
			.register(registry);
		this.settlements = Counter.builder()
			.name("cyclamenstall_claim_settlements_total")
			.help("Attempts to write the outcome of a claim to the store, by result")
			.labelNames("result")
			.register(registry);
		this.discardedResponses = Counter.builder()
			.name("cyclamenstall_claim_answers_not_kept_total")
			.help("Responses to requests with an idempotency key that were not retained, by reason")
			.labelNames("reason")
			.register(registry);
		GaugeWithCallback.builder()
			.name("cyclamenstall_claims_remembered")
			.help("Claims in memory: in progress, or ended and not yet written to the store")
			.callback((callback) -> callback.call(trackedClaims.getAsInt()))
			.register(registry);
	}

	void recordDecision(ClaimDecision decision) {
		this.decisions.labelValues(label(decision)).inc();
	}

	void recordSettlement(SettleResult result) {
		this.settlements.labelValues(result.name().toLowerCase(Locale.ROOT)).inc();
	}

	void recordDiscardedResponse(String reason) {
		this.discardedResponses.labelValues(reason).inc();
	}

	private static String label(ClaimDecision decision) {
		if (decision instanceof ClaimDecision.Refused refused) {
			return refused.kind().code();
		}
		return (decision instanceof ClaimDecision.Granted) ? "granted" : "replayed";
	}

}
