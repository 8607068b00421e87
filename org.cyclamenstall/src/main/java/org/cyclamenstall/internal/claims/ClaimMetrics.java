package org.cyclamenstall.internal.claims;

import java.util.Locale;
import java.util.function.IntSupplier;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.cyclamenstall.claims.ClaimDecision;

/**
 * Counts the claims of this daemon. Thread-safe.
 */
final class ClaimMetrics {

	private final Counter decisions;

	private final Counter settlements;

	private final Counter answersNotKept;

	ClaimMetrics(PrometheusRegistry registry, IntSupplier remembered) {
		this.decisions = Counter.builder()
			.name("cyclamenstall_claims_total")
			.help("Decisions on named requests: granted, replayed or the reason of the refusal")
			.labelNames("decision")
			.register(registry);
		this.settlements = Counter.builder()
			.name("cyclamenstall_claim_settlements_total")
			.help("Writes of the end of a claim, by result")
			.labelNames("result")
			.register(registry);
		this.answersNotKept = Counter.builder()
			.name("cyclamenstall_claim_answers_not_kept_total")
			.help("Answers of named requests that were not kept, by reason")
			.labelNames("reason")
			.register(registry);
		GaugeWithCallback.builder()
			.name("cyclamenstall_claims_remembered")
			.help("Claims in memory: running, or ended and not yet written to the store")
			.callback((callback) -> callback.call(remembered.getAsInt()))
			.register(registry);
	}

	void decided(ClaimDecision decision) {
		this.decisions.labelValues(label(decision)).inc();
	}

	void settled(SettleResult result) {
		this.settlements.labelValues(result.name().toLowerCase(Locale.ROOT)).inc();
	}

	void answerNotKept(String reason) {
		this.answersNotKept.labelValues(reason).inc();
	}

	private static String label(ClaimDecision decision) {
		if (decision instanceof ClaimDecision.Refused refused) {
			return refused.kind().code();
		}
		return (decision instanceof ClaimDecision.Granted) ? "granted" : "replayed";
	}

}
