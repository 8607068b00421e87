package org.cyclamenstall.internal.gateway;

import java.util.concurrent.atomic.AtomicInteger;

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
 * Counts requests, answers and refusals at the callers' port. Thread-safe.
 */
final class GatewayMetrics {

	private static final double NANOS_PER_SECOND = 1e9;

	private final Counter answers;

	private final Counter errors;

	private final Counter callersLeft;

	private final Counter tokens;

	private final Histogram firstToken;

	private final Histogram tokenGap;

	private final Histogram whole;

	private final Counter resumes;

	private final Counter cuts;

	private final AtomicInteger openRequests = new AtomicInteger();

	GatewayMetrics(PrometheusRegistry registry) {
		this.answers = Counter.builder()
			.name("cyclamenstall_answers_total")
			.help("Whole answers, by class and entry.")
			.labelNames("class", "entry")
			.register(registry);
		this.errors = Counter.builder()
			.name("cyclamenstall_errors_total")
			.help("Error answers, by kind and outcome.")
			.labelNames("kind", "outcome")
			.register(registry);
		this.callersLeft = Counter.builder()
			.name("cyclamenstall_callers_left_total")
			.help("Requests whose caller left before the end of its answer.")
			.register(registry);
		this.tokens = Counter.builder()
			.name("cyclamenstall_relayed_tokens_total")
			.help("Generated tokens relayed to callers, by class.")
			.labelNames("class")
			.register(registry);
		this.firstToken = histogram(registry, "cyclamenstall_first_token_seconds",
				"Time from the request to the first token, by class.", 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.53, 1,
				2.5, 5, 10, 30);
		this.tokenGap = histogram(registry, "cyclamenstall_token_gap_seconds", "Time between two tokens, by class.",
				0.001, 0.005, 0.01, 0.02, 0.045, 0.1, 0.25, 0.5, 1, 5);
		this.whole = histogram(registry, "cyclamenstall_answer_seconds",
				"Time from the request to the end of its answer, by class.", 0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10,
				15, 30, 60);
		this.resumes = Counter.builder()
			.name("cyclamenstall_resumes_total")
			.help("Begun streams that were sent again, by reason.")
			.labelNames("reason")
			.register(registry);
		this.cuts = Counter.builder()
			.name("cyclamenstall_cuts_total")
			.help("Begun answers that ended before their end, by error kind.")
			.labelNames("kind")
			.register(registry);
		GaugeWithCallback.builder()
			.name("cyclamenstall_open_requests")
			.help("Requests that are received and not yet answered.")
			.callback((callback) -> callback.call(this.openRequests.get()))
			.register(registry);
	}

	void opened() {
		this.openRequests.incrementAndGet();
	}

	void closed() {
		this.openRequests.decrementAndGet();
	}

	int open() {
		return this.openRequests.get();
	}

	void answered(Tier tier, String entry, long nanos) {
		this.answers.labelValues(tier.label(), entry).inc();
		this.whole.labelValues(tier.label()).observe(nanos / NANOS_PER_SECOND);
	}

	void resumed(RetryReason reason) {
		this.resumes.labelValues(reason.label()).inc();
	}

	void cut(ErrorKind kind) {
		this.cuts.labelValues(kind.code()).inc();
	}

	void failed(ErrorKind kind, Outcome outcome) {
		this.errors.labelValues(kind.code(), outcome.label()).inc();
	}

	void callerLeft() {
		this.callersLeft.inc();
	}

	void firstToken(Tier tier, long nanos) {
		this.firstToken.labelValues(tier.label()).observe(nanos / NANOS_PER_SECOND);
	}

	void token(Tier tier, long gapNanos) {
		this.tokens.labelValues(tier.label()).inc();
		this.tokenGap.labelValues(tier.label()).observe(gapNanos / NANOS_PER_SECOND);
	}

	private static Histogram histogram(PrometheusRegistry registry, String name, String help, double... bounds) {
		return Histogram.builder()
			.name(name)
			.help(help)
			.unit(Unit.SECONDS)
			.labelNames("class")
			.classicOnly()
			.classicUpperBounds(bounds)
			.register(registry);
	}

}
