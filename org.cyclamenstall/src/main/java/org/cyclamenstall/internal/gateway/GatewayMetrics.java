package org.cyclamenstall.internal.gateway;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.Unit;
import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.Outcome;
import org.cyclamenstall.policy.RetryReason;

/**
 * Metrics of the caller-facing HTTP server. Thread-safe.
 */
final class GatewayMetrics {

	private static final double NANOS_PER_SECOND = 1e9;

	private final Counter responses;

	private final Counter errors;

	private final Counter callerDisconnects;

	private final Counter tokenEvents;

	private final Histogram firstToken;

	private final Histogram tokenGap;

	private final Histogram responseTime;

	private final Counter resumes;

	private final Counter interruptions;

	GatewayMetrics(PrometheusRegistry registry, OpenRequests openRequests) {
		this.responses = Counter.builder()
			.name("cyclamenstall_answers_total")
			.help("Complete responses, by class and entry.")
			.labelNames("class", "entry")
			.register(registry);
		this.errors = Counter.builder()
			.name("cyclamenstall_errors_total")
			.help("Error responses, by kind and outcome.")
			.labelNames("kind", "outcome")
			.register(registry);
		this.callerDisconnects = Counter.builder()
			.name("cyclamenstall_callers_left_total")
			.help("Requests whose caller disconnected before the end of the response.")
			.register(registry);
		this.tokenEvents = Counter.builder()
			.name("cyclamenstall_relayed_tokens_total")
			.help("Streamed events with generated tokens relayed to callers, by class.")
			.labelNames("class")
			.register(registry);
		this.firstToken = histogram(registry, "cyclamenstall_first_token_seconds",
				"Time from the request to the first event or the buffered response, by class.", 0.005, 0.01, 0.025,
				0.05, 0.1, 0.25, 0.53, 1, 2.5, 5, 10, 30);
		this.tokenGap = histogram(registry, "cyclamenstall_token_gap_seconds",
				"Time between two streamed events with tokens, by class.", 0.001, 0.005, 0.01, 0.02, 0.045, 0.1, 0.25,
				0.5, 1, 5);
		this.responseTime = histogram(registry, "cyclamenstall_answer_seconds",
				"Time from the request to the end of its response, by class.", 0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5,
				10, 15, 30, 60);
		this.resumes = Counter.builder()
			.name("cyclamenstall_resumes_total")
			.help("Started streams that were resumed by another attempt, by reason.")
			.labelNames("reason")
			.register(registry);
		this.interruptions = Counter.builder()
			.name("cyclamenstall_cuts_total")
			.help("Started responses that were interrupted, by error kind.")
			.labelNames("kind")
			.register(registry);
		GaugeWithCallback.builder()
			.name("cyclamenstall_open_requests")
			.help("Requests received whose response is not complete.")
			.callback((callback) -> callback.call(openRequests.count()))
			.register(registry);
	}

	void recordResponse(Tier tier, String entry, long responseTimeNanos) {
		this.responses.labelValues(tier.label(), entry).inc();
		this.responseTime.labelValues(tier.label()).observe(responseTimeNanos / NANOS_PER_SECOND);
	}

	void recordResume(RetryReason reason) {
		this.resumes.labelValues(reason.label()).inc();
	}

	void recordInterruption(ErrorKind kind) {
		this.interruptions.labelValues(kind.code()).inc();
	}

	void recordError(ErrorKind kind, Outcome outcome) {
		this.errors.labelValues(kind.code(), outcome.label()).inc();
	}

	void recordCallerDisconnect() {
		this.callerDisconnects.inc();
	}

	void recordFirstToken(Tier tier, long timeToFirstTokenNanos) {
		this.firstToken.labelValues(tier.label()).observe(timeToFirstTokenNanos / NANOS_PER_SECOND);
	}

	void recordTokenEvent(Tier tier, long gapNanos) {
		this.tokenEvents.labelValues(tier.label()).inc();
		this.tokenGap.labelValues(tier.label()).observe(gapNanos / NANOS_PER_SECOND);
	}

	private static Histogram histogram(PrometheusRegistry registry, String name, String help, double... upperBounds) {
		return Histogram.builder()
			.name(name)
			.help(help)
			.unit(Unit.SECONDS)
			.labelNames("class")
			.classicOnly()
			.classicUpperBounds(upperBounds)
			.register(registry);
	}

}
