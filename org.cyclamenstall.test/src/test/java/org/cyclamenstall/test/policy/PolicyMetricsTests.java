package org.cyclamenstall.test.policy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.policy.AttemptResult;
import org.cyclamenstall.policy.RetryReason;
import org.cyclamenstall.policy.Ticket;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;

/**
 * Tests of the metrics that the traffic controller exports.
 */
class PolicyMetricsTests {

	private final PolicyFixture fixture = new PolicyFixture(PolicyFixture.settings("tiers", 1, 1), 2, 1);

	private String scrape() throws IOException {
		ByteArrayOutputStream page = new ByteArrayOutputStream();
		PrometheusTextFormatWriter.create().write(page, this.fixture.metrics.scrape());
		return page.toString(StandardCharsets.UTF_8);
	}

	@Nested
	class AfterRefusalsAndRetries {

		@Test
		void exportsEachReason() throws IOException {
			PolicyFixture fixture = PolicyMetricsTests.this.fixture;
			RecordingListener first = new RecordingListener();
			Ticket ticket = fixture.submit(Tier.INTERACTIVE, first);
			fixture.submit(Tier.INTERACTIVE);
			fixture.submit(Tier.BULK);
			fixture.submit(Tier.BULK);
			first.grant().release(AttemptResult.REFUSED);
			ticket.retry(RetryReason.REFUSED, new RecordingListener());
			String page = scrape();
			assertThat(page,
					containsString("cyclamenstall_policy_refusals_total{class=\"bulk\",reason=\"queue-full\"} 1"));
			assertThat(page,
					containsString("cyclamenstall_policy_retries_total{decision=\"granted\",reason=\"refused\"} 1"));
			assertThat(page, containsString("cyclamenstall_queue_length{class=\"bulk\",upstreams=\"cuptor\"} "));
			assertThat(page, containsString("cyclamenstall_upstream_in_flight{upstream=\"cuptor-1\"} "));
			assertThat(page, containsString("cyclamenstall_queue_wait_seconds_bucket{class=\"interactive\","));
		}

	}

}
