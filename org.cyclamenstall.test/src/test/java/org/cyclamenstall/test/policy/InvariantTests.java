package org.cyclamenstall.test.policy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.cyclamenstall.catalogue.Limits;
import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.junit.DecisionLogCheck;
import org.cyclamenstall.policy.AttemptResult;
import org.cyclamenstall.policy.Grant;
import org.cyclamenstall.policy.GrantListener;
import org.cyclamenstall.policy.Refusal;
import org.cyclamenstall.policy.RetryDecision;
import org.cyclamenstall.policy.RetryReason;
import org.cyclamenstall.policy.Ticket;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of the invariants of the traffic controller: each submission or retry is granted
 * or refused exactly once, no upstream exceeds its slots, no request is shed or preempted
 * in favour of an equal or lower tier, and no tier starves.
 */
class InvariantTests {

	private static final int SLOTS_PER_UPSTREAM = 3;

	private static final int UPSTREAMS = 3;

	@Nested
	class UnderRandomLoad {

		private final List<SimulatedRequest> runningRequests = new ArrayList<>();

		private final Map<String, Integer> slotsInUse = new HashMap<>();

		private final List<AtomicInteger> decisionCounts = new ArrayList<>();

		@ParameterizedTest
		@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
		void keepsTheInvariants(long seed) {
			PolicyFixture fixture = new PolicyFixture(PolicyFixture.settings("tiers", SLOTS_PER_UPSTREAM, 20),
					UPSTREAMS, seed);
			Random random = new Random(seed);
			for (int step = 0; step < 20_000; step++) {
				fixture.advanceMillis(random.nextInt(20));
				if (random.nextInt(100) < 45) {
					submitRandomRequest(fixture, random);
				}
				if (!this.runningRequests.isEmpty() && random.nextInt(100) < 50) {
					advanceRequest(this.runningRequests.get(random.nextInt(this.runningRequests.size())), random);
				}
			}
			completeAll(fixture);
			assertThat(fixture.controller.unfinishedRequests(), equalTo(0));
			this.decisionCounts.forEach((count) -> assertThat(count.get(), equalTo(1)));
			DecisionLogCheck logCheck = DecisionLogCheck.of(fixture.decisions);
			assertThat(logCheck.violations(), empty());
			assertThat(logCheck.longestWaitNanos(Tier.BULK), greaterThan(0L));
		}

		private void submitRandomRequest(PolicyFixture fixture, Random random) {
			Tier tier = Tier.values()[random.nextInt(Tier.values().length)];
			Limits limits = random.nextBoolean() ? Limits.NONE : new Limits(null, null, null, 5.0, null, null);
			SimulatedRequest request = new SimulatedRequest();
			request.ticket = fixture.controller.submit(fixture.attributes(tier, "account-" + random.nextInt(4), limits),
					request.newListener());
			if (request.grant == null && random.nextInt(20) == 0 && request.ticket.withdraw()) {
				request.decisionCount.incrementAndGet();
			}
		}

		private void advanceRequest(SimulatedRequest request, Random random) {
			Grant grant = request.grant;
			if (grant == null) {
				return;
			}
			int choice = random.nextInt(10);
			if (choice < 4) {
				grant.recordFirstToken();
				grant.recordTokens(1 + random.nextInt(50));
			}
			else if (choice < 5) {
				request.finishAttempt(AttemptResult.CONNECTION_LOST, RetryReason.STREAM_CUT);
			}
			else {
				request.finishAttempt(AttemptResult.COMPLETED, null);
			}
		}

		private void completeAll(PolicyFixture fixture) {
			for (int round = 0; round < 100_000 && fixture.controller.unfinishedRequests() > 0; round++) {
				fixture.advanceMillis(20);
				List.copyOf(this.runningRequests)
					.forEach((request) -> request.finishAttempt(AttemptResult.COMPLETED, null));
			}
		}

		/**
		 * Simulates the gateway for one request.
		 */
		private final class SimulatedRequest {

			private Ticket ticket;

			private Grant grant;

			private AtomicInteger decisionCount;

			private boolean preemptionRequested;

			GrantListener newListener() {
				AtomicInteger count = new AtomicInteger();
				this.decisionCount = count;
				UnderRandomLoad.this.decisionCounts.add(count);
				return new GrantListener() {

					@Override
					public void onGranted(Grant newGrant) {
						count.incrementAndGet();
						start(newGrant);
					}

					@Override
					public void onRefused(Refusal refusal) {
						count.incrementAndGet();
						if (SimulatedRequest.this.ticket != null) {
							SimulatedRequest.this.ticket.finish(0);
						}
					}

					@Override
					public void onPreempt() {
						SimulatedRequest.this.preemptionRequested = true;
					}

				};
			}

			private void start(Grant newGrant) {
				this.grant = newGrant;
				UnderRandomLoad.this.runningRequests.add(this);
				int slots = UnderRandomLoad.this.slotsInUse.merge(newGrant.upstream().host(), 1, Integer::sum);
				assertThat(slots, lessThanOrEqualTo(SLOTS_PER_UPSTREAM));
			}

			void finishAttempt(AttemptResult result, RetryReason reasonIfNotPreempted) {
				Grant currentGrant = this.grant;
				this.grant = null;
				UnderRandomLoad.this.runningRequests.remove(this);
				UnderRandomLoad.this.slotsInUse.merge(currentGrant.upstream().host(), -1, Integer::sum);
				RetryReason retryReason = this.preemptionRequested ? RetryReason.PREEMPTED : reasonIfNotPreempted;
				this.preemptionRequested = false;
				currentGrant.release((retryReason == RetryReason.PREEMPTED) ? AttemptResult.PREEMPTED : result);
				if (retryReason == null || !tryRetry(retryReason)) {
					this.ticket.finish(10);
				}
			}

			private boolean tryRetry(RetryReason retryReason) {
				GrantListener listener = newListener();
				AtomicInteger count = this.decisionCount;
				RetryDecision decision = this.ticket.retry(retryReason, listener);
				if (decision != RetryDecision.GRANTED) {
					count.incrementAndGet();
				}
				return decision == RetryDecision.GRANTED;
			}

		}

	}

	@Nested
	class WhenTheHighestTierIsAlwaysBusy {

		@Test
		void dispatchesEveryLowerTierRequestWithinATimeLimit() {
			PolicyFixture fixture = new PolicyFixture(PolicyFixture.settings("tiers", 1, 100), 2, 1);
			List<RecordingListener> bulk = new ArrayList<>();
			for (int count = 0; count < 10; count++) {
				bulk.add(fixture.submit(Tier.BULK));
			}
			List<RecordingListener> unfinished = new ArrayList<>(bulk);
			for (int round = 0; round < 400; round++) {
				unfinished.add(fixture.submit(Tier.INTERACTIVE));
				unfinished.add(fixture.submit(Tier.INTERACTIVE));
				unfinished.add(fixture.submit(Tier.INTERACTIVE));
				fixture.advanceMillis(100);
				unfinished.removeIf(this::releaseIfGranted);
			}
			assertThat(bulk.stream().filter(RecordingListener::isGranted).count(), equalTo(10L));
			assertThat(DecisionLogCheck.of(fixture.decisions).longestWaitNanos(Tier.BULK),
					lessThanOrEqualTo(TimeUnit.SECONDS.toNanos(25)));
		}

		private boolean releaseIfGranted(RecordingListener listener) {
			if (listener.isGranted()) {
				listener.grant().release(AttemptResult.COMPLETED);
			}
			return listener.isGranted();
		}

	}

	@Nested
	class WithManyThreads {

		private static final int THREADS = 8;

		private static final int REQUESTS_PER_THREAD = 2_000;

		@Test
		void decidesEachRequestOnce() throws Exception {
			PolicyFixture fixture = new PolicyFixture(PolicyFixture.settings("tiers", SLOTS_PER_UPSTREAM, 100_000),
					UPSTREAMS, 1);
			CountDownLatch completed = new CountDownLatch(THREADS * REQUESTS_PER_THREAD);
			List<AtomicInteger> decisionCounts = Collections.synchronizedList(new ArrayList<>());
			Map<String, AtomicInteger> slotsInUse = Map.of("cuptor-1", new AtomicInteger(), "cuptor-2",
					new AtomicInteger(), "cuptor-3", new AtomicInteger());
			AtomicInteger maximumSlotsInUse = new AtomicInteger();
			ExecutorService submitters = Executors.newFixedThreadPool(THREADS);
			ExecutorService releaseExecutor = Executors.newFixedThreadPool(2);
			List<Future<?>> submissions = new ArrayList<>();
			for (int thread = 0; thread < THREADS; thread++) {
				int threadIndex = thread;
				submissions.add(submitters.submit(() -> {
					for (int count = 0; count < REQUESTS_PER_THREAD; count++) {
						AtomicInteger decisionCount = new AtomicInteger();
						decisionCounts.add(decisionCount);
						Tier tier = Tier.values()[(threadIndex + count) % Tier.values().length];
						fixture.controller.submit(fixture.attributes(tier, "account-" + threadIndex, Limits.NONE),
								new ReleasingListener(decisionCount, slotsInUse, maximumSlotsInUse, completed,
										releaseExecutor));
					}
				}));
			}
			for (Future<?> submission : submissions) {
				submission.get(60, TimeUnit.SECONDS);
			}
			assertThat(completed.await(60, TimeUnit.SECONDS), equalTo(true));
			submitters.shutdown();
			releaseExecutor.shutdown();
			decisionCounts.forEach((count) -> assertThat(count.get(), equalTo(1)));
			assertThat(maximumSlotsInUse.get(), lessThanOrEqualTo(SLOTS_PER_UPSTREAM));
		}

		/**
		 * Releases each grant on another thread.
		 */
		private record ReleasingListener(AtomicInteger decisionCount, Map<String, AtomicInteger> slotsInUse,
				AtomicInteger maximumSlotsInUse, CountDownLatch completed,
				ExecutorService releaseExecutor) implements GrantListener {

			@Override
			public void onGranted(Grant grant) {
				this.decisionCount.incrementAndGet();
				int slots = this.slotsInUse.get(grant.upstream().host()).incrementAndGet();
				this.maximumSlotsInUse.accumulateAndGet(slots, Math::max);
				this.releaseExecutor.submit(() -> {
					this.slotsInUse.get(grant.upstream().host()).decrementAndGet();
					grant.release(AttemptResult.COMPLETED);
					this.completed.countDown();
				});
			}

			@Override
			public void onRefused(Refusal refusal) {
				this.decisionCount.incrementAndGet();
				this.completed.countDown();
			}

		}

	}

}
