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
 * Tests of what holds under any load: every request is answered exactly once, no slot is
 * held twice, no tier is served at the cost of a higher one, none starves.
 */
class InvariantTests {

	private static final int SLOTS = 3;

	private static final int UPSTREAMS = 3;

	@Nested
	class UnderRandomLoad {

		private final List<Running> running = new ArrayList<>();

		private final Map<String, Integer> held = new HashMap<>();

		private final List<AtomicInteger> answers = new ArrayList<>();

		@ParameterizedTest
		@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
		void holds(long seed) {
			PolicyFixture fixture = new PolicyFixture(PolicyFixture.settings("tiers", SLOTS, 20), UPSTREAMS, seed);
			Random random = new Random(seed);
			for (int step = 0; step < 20_000; step++) {
				fixture.advanceMillis(random.nextInt(20));
				if (random.nextInt(100) < 45) {
					arrive(fixture, random);
				}
				if (!this.running.isEmpty() && random.nextInt(100) < 50) {
					act(this.running.get(random.nextInt(this.running.size())), random);
				}
			}
			drain(fixture);
			assertThat(fixture.controller.unfinishedRequests(), equalTo(0));
			this.answers.forEach((count) -> assertThat(count.get(), equalTo(1)));
			DecisionLogCheck check = DecisionLogCheck.of(fixture.decisions);
			assertThat(check.violations(), empty());
			assertThat(check.longestWaitNanos(Tier.BULK), greaterThan(0L));
		}

		private void arrive(PolicyFixture fixture, Random random) {
			Tier tier = Tier.values()[random.nextInt(Tier.values().length)];
			Limits limits = random.nextBoolean() ? Limits.NONE : new Limits(null, null, null, 5.0, null, null);
			Running request = new Running();
			request.ticket = fixture.controller.submit(fixture.facts(tier, "account-" + random.nextInt(4), limits),
					request.listen());
			if (request.grant == null && random.nextInt(20) == 0 && request.ticket.withdraw()) {
				request.waiting.incrementAndGet();
			}
		}

		private void act(Running request, Random random) {
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
				request.end(AttemptResult.CONNECTION_LOST, RetryReason.STREAM_CUT);
			}
			else {
				request.end(AttemptResult.COMPLETED, null);
			}
		}

		private void drain(PolicyFixture fixture) {
			for (int round = 0; round < 100_000 && fixture.controller.unfinishedRequests() > 0; round++) {
				fixture.advanceMillis(20);
				List.copyOf(this.running).forEach((request) -> request.end(AttemptResult.COMPLETED, null));
			}
		}

		/**
		 * Plays the gateway for one request.
		 */
		private final class Running {

			private Ticket ticket;

			private Grant grant;

			private AtomicInteger waiting;

			private boolean wantsPreemption;

			GrantListener listen() {
				AtomicInteger count = new AtomicInteger();
				this.waiting = count;
				UnderRandomLoad.this.answers.add(count);
				return new GrantListener() {

					@Override
					public void onGranted(Grant given) {
						count.incrementAndGet();
						start(given);
					}

					@Override
					public void onRefused(Refusal refused) {
						count.incrementAndGet();
						if (Running.this.ticket != null) {
							Running.this.ticket.finish(0);
						}
					}

					@Override
					public void onPreempt() {
						Running.this.wantsPreemption = true;
					}

				};
			}

			private void start(Grant given) {
				this.grant = given;
				UnderRandomLoad.this.running.add(this);
				int count = UnderRandomLoad.this.held.merge(given.upstream().host(), 1, Integer::sum);
				assertThat(count, lessThanOrEqualTo(SLOTS));
			}

			void end(AttemptResult result, RetryReason reason) {
				Grant given = this.grant;
				this.grant = null;
				UnderRandomLoad.this.running.remove(this);
				UnderRandomLoad.this.held.merge(given.upstream().host(), -1, Integer::sum);
				RetryReason why = this.wantsPreemption ? RetryReason.PREEMPTED : reason;
				this.wantsPreemption = false;
				given.release((why == RetryReason.PREEMPTED) ? AttemptResult.PREEMPTED : result);
				if (why == null || !isRetried(why)) {
					this.ticket.finish(10);
				}
			}

			private boolean isRetried(RetryReason why) {
				GrantListener listener = listen();
				AtomicInteger count = this.waiting;
				RetryDecision decision = this.ticket.retry(why, listener);
				if (decision != RetryDecision.GRANTED) {
					count.incrementAndGet();
				}
				return decision == RetryDecision.GRANTED;
			}

		}

	}

	@Nested
	class WhenTheHighestTierNeverStops {

		@Test
		void servesEveryLowerRequestWithinABound() {
			PolicyFixture fixture = new PolicyFixture(PolicyFixture.settings("tiers", 1, 100), 2, 1);
			List<RecordedListener> bulk = new ArrayList<>();
			for (int count = 0; count < 10; count++) {
				bulk.add(fixture.submit(Tier.BULK));
			}
			List<RecordedListener> open = new ArrayList<>(bulk);
			for (int round = 0; round < 400; round++) {
				open.add(fixture.submit(Tier.INTERACTIVE));
				open.add(fixture.submit(Tier.INTERACTIVE));
				open.add(fixture.submit(Tier.INTERACTIVE));
				fixture.advanceMillis(100);
				open.removeIf(this::endIfGranted);
			}
			assertThat(bulk.stream().filter(RecordedListener::isGranted).count(), equalTo(10L));
			assertThat(DecisionLogCheck.of(fixture.decisions).longestWaitNanos(Tier.BULK),
					lessThanOrEqualTo(TimeUnit.SECONDS.toNanos(25)));
		}

		private boolean endIfGranted(RecordedListener listener) {
			if (listener.isGranted()) {
				listener.grant().release(AttemptResult.COMPLETED);
			}
			return listener.isGranted();
		}

	}

	@Nested
	class WithManyThreads {

		private static final int THREADS = 8;

		private static final int REQUESTS = 2_000;

		@Test
		void answersEachRequestOnce() throws Exception {
			PolicyFixture fixture = new PolicyFixture(PolicyFixture.settings("tiers", SLOTS, 100_000), UPSTREAMS, 1);
			CountDownLatch answered = new CountDownLatch(THREADS * REQUESTS);
			List<AtomicInteger> answers = Collections.synchronizedList(new ArrayList<>());
			Map<String, AtomicInteger> held = Map.of("cuptor-1", new AtomicInteger(), "cuptor-2", new AtomicInteger(),
					"cuptor-3", new AtomicInteger());
			AtomicInteger mostHeld = new AtomicInteger();
			ExecutorService threads = Executors.newFixedThreadPool(THREADS);
			ExecutorService enders = Executors.newFixedThreadPool(2);
			List<Future<?>> submissions = new ArrayList<>();
			for (int thread = 0; thread < THREADS; thread++) {
				int number = thread;
				submissions.add(threads.submit(() -> {
					for (int count = 0; count < REQUESTS; count++) {
						AtomicInteger told = new AtomicInteger();
						answers.add(told);
						Tier tier = Tier.values()[(number + count) % Tier.values().length];
						fixture.controller.submit(fixture.facts(tier, "account-" + number, Limits.NONE),
								new Ending(told, held, mostHeld, answered, enders));
					}
				}));
			}
			for (Future<?> submission : submissions) {
				submission.get(60, TimeUnit.SECONDS);
			}
			assertThat(answered.await(60, TimeUnit.SECONDS), equalTo(true));
			threads.shutdown();
			enders.shutdown();
			answers.forEach((count) -> assertThat(count.get(), equalTo(1)));
			assertThat(mostHeld.get(), lessThanOrEqualTo(SLOTS));
		}

		/**
		 * Ends each grant on another thread.
		 */
		private record Ending(AtomicInteger told, Map<String, AtomicInteger> held, AtomicInteger mostHeld,
				CountDownLatch answered, ExecutorService enders) implements GrantListener {

			@Override
			public void onGranted(Grant grant) {
				this.told.incrementAndGet();
				int count = this.held.get(grant.upstream().host()).incrementAndGet();
				this.mostHeld.accumulateAndGet(count, Math::max);
				this.enders.submit(() -> {
					this.held.get(grant.upstream().host()).decrementAndGet();
					grant.release(AttemptResult.COMPLETED);
					this.answered.countDown();
				});
			}

			@Override
			public void onRefused(Refusal refused) {
				this.told.incrementAndGet();
				this.answered.countDown();
			}

		}

	}

}
