package org.cyclamenstall.test.events;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.cyclamenstall.events.Event;
import org.cyclamenstall.internal.events.BoundedEventLog;
import org.cyclamenstall.junit.ManualClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.startsWith;

/**
 * Tests of {@link BoundedEventLog}.
 */
class BoundedEventLogTests {

	private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();

	private static void awaitLatch(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Nested
	class WhenTheSinkBlocks {

		@Test
		@Timeout(value = 1, unit = TimeUnit.MINUTES)
		void recordingDoesNotBlock() throws InterruptedException {
			CountDownLatch sinkRelease = new CountDownLatch(1);
			ManualClock clock = new ManualClock();
			try (BoundedEventLog log = new BoundedEventLog((line) -> awaitLatch(sinkRelease), clock,
					new PrometheusRegistry())) {
				log.start();
				for (int index = 0; index < 100_000; index++) {
					log.record(new Event.UpstreamTrusted("upstream-" + index));
					clock.advance(Duration.ofMillis(1));
				}
				sinkRelease.countDown();
			}
		}

	}

	@Nested
	class WhenOneTypeExceedsItsRateLimit {

		@Test
		@Timeout(value = 1, unit = TimeUnit.MINUTES)
		void excessEventsAreCounted() throws InterruptedException {
			try (BoundedEventLog log = new BoundedEventLog(BoundedEventLogTests.this.lines::add, new ManualClock(),
					new PrometheusRegistry())) {
				log.start();
				for (int index = 0; index < 130; index++) {
					log.record(new Event.UpstreamTrusted("upstream"));
				}
				String line = BoundedEventLogTests.this.lines.take();
				while (!line.startsWith("\"event\":\"events-left-out\"")) {
					line = BoundedEventLogTests.this.lines.take();
				}
				assertThat(line, equalTo("\"event\":\"events-left-out\",\"left\":\"upstream-trusted\",\"count\":30"));
			}
		}

	}

	@Nested
	class WhenTextNeedsEscaping {

		@Test
		@Timeout(value = 1, unit = TimeUnit.MINUTES)
		void specialCharactersAreEscaped() throws InterruptedException {
			try (BoundedEventLog log = new BoundedEventLog(BoundedEventLogTests.this.lines::add, new ManualClock(),
					new PrometheusRegistry())) {
				log.start();
				log.record(new Event.UpstreamGone("a\"b", "service", "one\ntwo"));
				assertThat(List.of(BoundedEventLogTests.this.lines.take()).get(0),
						startsWith("\"event\":\"upstream-gone\",\"upstream\":\"a\\\"b\",\"service\":\"service\","
								+ "\"detail\":\"one\\ntwo\""));
			}
		}

	}

}
