package org.cyclamenstall.test.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import org.cyclamenstall.catalogue.Limits;
import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.policy.AttemptResult;
import org.cyclamenstall.policy.DemandReport;
import org.cyclamenstall.policy.Ticket;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.nullValue;

/**
 * Tests of the limits of catalogue entries and client accounts on a single daemon and
 * when shared among five daemons.
 */
class LimitsTests {

	private static final int SLOTS_PER_UPSTREAM = 500;

	private static RecordingListener submit(PolicyFixture fixture, Limits limits) {
		RecordingListener listener = new RecordingListener();
		fixture.controller.submit(fixture.attributes(Tier.STANDARD, "brutarie", limits), listener);
		return listener;
	}

	@Nested
	class OnOneDaemon {

		private final PolicyFixture fixture = new PolicyFixture(
				PolicyFixture.settings("tiers", SLOTS_PER_UPSTREAM, 100), 2, 1);

		@Test
		void refusesRequestsAboveTheRate() {
			Limits limits = new Limits(10.0, null, null, null, null, null);
			int admitted = 0;
			for (int count = 0; count < 200; count++) {
				admitted += (submit(this.fixture, limits).refusal() == null) ? 1 : 0;
				this.fixture.advanceMillis(50);
			}
			assertThat(admitted, both(greaterThanOrEqualTo(95)).and(lessThanOrEqualTo(110)));
		}

		@Test
		void admitsAnotherRequestAfterAConcurrentOneFinished() {
			Limits limits = new Limits(null, 1, null, null, null, null);
			RecordingListener first = new RecordingListener();
			Ticket ticket = this.fixture.controller.submit(this.fixture.attributes(Tier.STANDARD, "brutarie", limits),
					first);
			assertThat(submit(this.fixture, limits).refusal(), equalTo(ErrorKind.CONCURRENCY_LIMITED));
			first.grant().release(AttemptResult.COMPLETED);
			ticket.finish(5);
			assertThat(submit(this.fixture, limits).refusal(), nullValue());
		}

		@Test
		void reconcilesTokensWhenTheRequestFinishes() {
			Limits limits = new Limits(null, null, 1_000.0, null, null, null);
			RecordingListener first = new RecordingListener();
			Ticket ticket = this.fixture.controller.submit(this.fixture.attributes(Tier.STANDARD, "brutarie", limits),
					first);
			first.grant().recordTokens(3_000);
			first.grant().release(AttemptResult.COMPLETED);
			ticket.finish(3_000);
			this.fixture.advanceMillis(2_300);
			assertThat(submit(this.fixture, limits).refusal(), equalTo(ErrorKind.TOKEN_RATE_LIMITED));
			this.fixture.advanceMillis(1_000);
			assertThat(submit(this.fixture, limits).refusal(), nullValue());
		}

		@Test
		void returnsTheQuotaOfAWithdrawnRequest() {
			PolicyFixture busy = new PolicyFixture(PolicyFixture.settings("tiers", 1, 100), 1, 1);
			busy.submit(Tier.INTERACTIVE);
			Limits limits = new Limits(1.0, 2, null, null, null, null);
			Ticket ticket = busy.controller.submit(busy.attributes(Tier.STANDARD, "brutarie", limits),
					new RecordingListener());
			assertThat(ticket.withdraw(), equalTo(true));
			assertThat(submit(busy, limits).refusal(), nullValue());
			assertThat(busy.controller.unfinishedRequests(), equalTo(2));
		}

		@Test
		void reservesAnEvenShareForADaemonWithoutReport() {
			this.fixture.controller.updateHostsSharingLimits(Set.of("gara-1", "gara-2"));
			Limits limits = new Limits(null, 10, null, null, null, null);
			int admitted = 0;
			for (int count = 0; count < 20; count++) {
				admitted += (submit(this.fixture, limits).refusal() == null) ? 1 : 0;
			}
			assertThat(admitted, equalTo(5));
		}

	}

	@Nested
	class OnFiveDaemons {

		private static final int REQUESTS_PER_SECOND = 100;

		private static final int DURATION_MILLIS = 60_000;

		private static final int DAEMON_LOST_AT_MILLIS = 30_000;

		private static final int LOSS_DETECTED_AT_MILLIS = 33_000;

		private static final int WINDOW_MILLIS = 10_000;

		private static final double[] BALANCER_WEIGHTS = { 0.4, 0.25, 0.15, 0.12, 0.08 };

		private final List<PolicyFixture> fixtures = new ArrayList<>();

		private final int[] admitted = new int[DURATION_MILLIS];

		private final int[] offered = new int[DURATION_MILLIS];

		@ParameterizedTest
		@ValueSource(longs = { 1, 2, 3 })
		void enforcesTheLimitWithUnevenBalancingAndALostDaemon(long seed) {
			run(seed, 300);
			for (int start = 0; start + WINDOW_MILLIS <= DURATION_MILLIS; start += 100) {
				int count = sumOverWindow(this.admitted, start);
				assertThat("10 s window starting at millisecond " + start, count,
						lessThanOrEqualTo(REQUESTS_PER_SECOND * 11));
				if (start >= 2_000
						&& (start >= LOSS_DETECTED_AT_MILLIS || start + WINDOW_MILLIS <= DAEMON_LOST_AT_MILLIS)) {
					assertThat("10 s window starting at millisecond " + start, count,
							greaterThanOrEqualTo(REQUESTS_PER_SECOND * 9));
				}
			}
		}

		@ParameterizedTest
		@ValueSource(longs = { 1, 2, 3 })
		void admitsMostRequestsOfAnAccountBelowItsLimit(long seed) {
			run(seed, 95);
			for (int start = 2_000; start + WINDOW_MILLIS <= DAEMON_LOST_AT_MILLIS; start += 100) {
				int offeredInWindow = sumOverWindow(this.offered, start);
				assertThat("10 s window starting at millisecond " + start, sumOverWindow(this.admitted, start) * 10,
						greaterThanOrEqualTo(offeredInWindow * 9));
			}
		}

		private void run(long seed, int offeredPerSecond) {
			Set<String> hostNames = new TreeSet<>();
			for (int host = 0; host < BALANCER_WEIGHTS.length; host++) {
				this.fixtures.add(new PolicyFixture(PolicyFixture.settings("tiers", SLOTS_PER_UPSTREAM, 100), 2, seed));
				hostNames.add("gara-" + host);
			}
			this.fixtures.forEach((fixture) -> fixture.controller.updateHostsSharingLimits(hostNames));
			Random random = new Random(seed);
			for (int millis = 0; millis < DURATION_MILLIS; millis++) {
				runMillisecond(millis, hostNames, random, offeredPerSecond);
			}
		}

		private void runMillisecond(int millis, Set<String> hostNames, Random random, int offeredPerSecond) {
			int firstLiveHost = (millis >= DAEMON_LOST_AT_MILLIS) ? 1 : 0;
			for (int host = firstLiveHost; host < BALANCER_WEIGHTS.length; host++) {
				this.fixtures.get(host).nowNanos.set(1 + TimeUnit.MILLISECONDS.toNanos(millis));
				if (millis % 1_000 == host * 170) {
					sendDemandReport(host);
				}
				if (millis % 20 == 0) {
					this.fixtures.get(host).advanceMillis(0);
				}
			}
			if (millis == LOSS_DETECTED_AT_MILLIS) {
				hostNames.remove("gara-0");
				this.fixtures.forEach((fixture) -> fixture.controller.updateHostsSharingLimits(hostNames));
			}
			if (random.nextInt(1_000) < offeredPerSecond) {
				offer(millis, firstLiveHost, random.nextDouble());
			}
		}

		private void sendDemandReport(int host) {
			DemandReport report = this.fixtures.get(host).controller.createDemandReport();
			for (int peer = 0; peer < BALANCER_WEIGHTS.length; peer++) {
				if (peer != host) {
					this.fixtures.get(peer).controller.updatePeerDemand("gara-" + host, report);
				}
			}
		}

		private void offer(int millis, int firstLiveHost, double randomValue) {
			double remaining = (firstLiveHost == 0) ? randomValue
					: BALANCER_WEIGHTS[0] + randomValue * (1 - BALANCER_WEIGHTS[0]);
			int host = 0;
			while (host < BALANCER_WEIGHTS.length - 1 && remaining >= BALANCER_WEIGHTS[host]) {
				remaining -= BALANCER_WEIGHTS[host];
				host++;
			}
			this.offered[millis]++;
			PolicyFixture fixture = this.fixtures.get(Math.max(host, firstLiveHost));
			RecordingListener listener = new RecordingListener();
			Ticket ticket = fixture.controller.submit(fixture.attributes(Tier.STANDARD, "brutarie",
					new Limits((double) REQUESTS_PER_SECOND, null, null, null, null, null)), listener);
			if (listener.isGranted()) {
				this.admitted[millis]++;
				listener.grant().release(AttemptResult.COMPLETED);
				ticket.finish(1);
			}
		}

		private int sumOverWindow(int[] counts, int start) {
			int count = 0;
			for (int millis = start; millis < start + WINDOW_MILLIS; millis++) {
				count += counts[millis];
			}
			return count;
		}

	}

}
