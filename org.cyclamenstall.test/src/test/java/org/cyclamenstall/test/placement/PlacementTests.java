package org.cyclamenstall.test.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.events.Event;
import org.cyclamenstall.hosts.HostState;
import org.cyclamenstall.internal.policy.placement.PlacementTrafficController;
import org.cyclamenstall.policy.AttemptResult;
import org.cyclamenstall.policy.RetryDecision;
import org.cyclamenstall.policy.RetryReason;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.in;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.notNullValue;

/**
 * Tests of {@link PlacementTrafficController}. Each nested class replays a load pattern.
 */
class PlacementTests {

	private static final String DOMAIN = "domain-0";

	@Nested
	class WhenLongPromptsComeInABurst {

		@ParameterizedTest
		@ValueSource(longs = { 1, 2, 3 })
		void chatsKeepToEnginesWithoutThem(long seed) {
			PlacementFixture fixture = new PlacementFixture(6, DOMAIN, seed);
			Set<String> withPlans = new HashSet<>();
			Set<String> withChats = new HashSet<>();
			for (int number = 0; number < 40; number++) {
				PlacedRequest plan = fixture.plan(2, 12_000, "session-" + number);
				if (!plan.waits()) {
					withPlans.add(plan.upstream());
				}
				PlacedRequest chat = fixture.chat();
				withChats.add(chat.upstream());
				fixture.clock.advance(Duration.ofMillis(20));
				chat.grant.firstToken();
			}
			assertThat(withChats, everyItem(not(in(withPlans))));
		}

		@Test
		void shortPromptsThatNeedNoQuietStayBesideThem() {
			PlacementFixture fixture = new PlacementFixture(6, DOMAIN, 1);
			Set<String> withChats = new HashSet<>();
			for (int number = 0; number < 10; number++) {
				withChats.add(fixture.chat().upstream());
			}
			for (int number = 0; number < 20; number++) {
				assertThat(fixture.summary().upstream(), not(in(withChats)));
			}
		}

		@Test
		void theyUseTheOnlyEngineThereIs() {
			PlacementFixture fixture = new PlacementFixture(1, DOMAIN, 1);
			assertThat(fixture.plan(2, 12_000, "session").upstream(), equalTo("engine-0"));
			assertThat(fixture.chat().upstream(), equalTo("engine-0"));
		}

	}

	@Nested
	class WhenASessionComesBack {

		@Test
		void allDaemonsChooseTheSameEngine() {
			List<String> chosen = new ArrayList<>();
			for (int daemon = 0; daemon < 5; daemon++) {
				PlacementFixture fixture = new PlacementFixture(8, "domain-" + daemon % 4, daemon);
				chosen.add(fixture.plan(2, 12_000, "session-7").upstream());
			}
			assertThat(new HashSet<>(chosen), hasSize(1));
		}

		@Test
		void allDaemonsTurnToTheSameEngineWhenItsHomeIsFull() {
			Set<String> chosen = new HashSet<>();
			for (int daemon = 0; daemon < 5; daemon++) {
				PlacementFixture fixture = new PlacementFixture(8, "domain-" + daemon % 4, daemon);
				String home = fixture.plan(2, 12_000, "session-7").upstream();
				String next = home;
				while (next.equals(home)) {
					next = fixture.plan(2, 12_000, "session-7").upstream();
				}
				chosen.add(next);
			}
			assertThat(chosen, hasSize(1));
		}

		@Test
		void anotherEngineServesItWhenItsHomeIsGone() {
			PlacementFixture fixture = new PlacementFixture(8, DOMAIN, 1);
			String home = fixture.plan(2, 12_000, "session-7").upstream();
			fixture.relist(Integer.parseInt(home.substring(home.indexOf('-') + 1)), HostState.LEAVING, 1);
			assertThat(fixture.plan(2, 12_000, "session-7").upstream(), not(equalTo(home)));
		}

	}

	@Nested
	class WhenThereIsMoreWorkThanFits {

		@Test
		void higherRanksAreServedFirst() {
			PlacementFixture fixture = new PlacementFixture(1, DOMAIN, 1);
			List<PlacedRequest> running = fill(fixture, 0);
			PlacedRequest low = fixture.plan(2, 12_000, "low");
			PlacedRequest high = fixture.plan(0, 12_000, "high");
			assertThat(low.waits() && high.waits(), is(true));
			running.get(0).grant.firstToken();
			assertThat(high.waits(), is(false));
			assertThat(low.waits(), is(true));
		}

		@Test
		void lessUrgentWorkAtTheEngineHoldsNobodyBack() {
			PlacementFixture fixture = new PlacementFixture(1, DOMAIN, 1);
			fill(fixture, 1);
			assertThat(fixture.plan(1, 12_000, "alike").waits(), is(true));
			assertThat(fixture.plan(0, 12_000, "urgent").waits(), is(false));
		}

		@Test
		void whatCanStillBeOnTimeGoesBeforeWhatCannot() {
			PlacementFixture fixture = new PlacementFixture(1, DOMAIN, 1);
			List<PlacedRequest> running = fill(fixture, 1);
			PlacedRequest late = fixture.plan(2, 12_000, "late");
			fixture.clock.advance(Duration.ofMillis(2_000));
			PlacedRequest fresh = fixture.plan(2, 12_000, "fresh");
			fixture.controller.tick();
			running.forEach((request) -> request.grant.firstToken());
			assertThat(fresh.waits(), is(false));
			assertThat(late.waits(), is(true));
		}

		@Test
		void whatCannotBeAnsweredIsRefusedWithATimeToReturn() {
			PlacementFixture fixture = new PlacementFixture(1, DOMAIN, 1);
			fill(fixture, 1);
			PlacedRequest waiting = fixture.plan(2, 12_000, "waiting");
			fixture.clock.advance(Duration.ofMillis(11_500));
			fixture.controller.tick();
			assertThat(waiting.refusal, notNullValue());
			assertThat(waiting.refusal.kind(), equalTo(ErrorKind.UPSTREAMS_FULL));
			assertThat(waiting.refusal.retryAfter(),
					both(greaterThan(Duration.ZERO)).and(lessThanOrEqualTo(Duration.ofMillis(3_500 / 3))));
		}

		@Test
		void aRefusedRequestIsNeverPlaced() {
			PlacementFixture fixture = new PlacementFixture(1, DOMAIN, 1);
			List<PlacedRequest> running = fill(fixture, 1);
			PlacedRequest waiting = fixture.plan(2, 12_000, "waiting");
			fixture.clock.advance(Duration.ofMillis(11_500));
			fixture.controller.tick();
			running.forEach((request) -> request.grant.ended(AttemptResult.COMPLETED));
			fixture.controller.tick();
			assertThat(waiting.grant == null, is(true));
		}

		@Test
		void aWithdrawnRequestIsNeverPlaced() {
			PlacementFixture fixture = new PlacementFixture(1, DOMAIN, 1);
			List<PlacedRequest> running = fill(fixture, 1);
			PlacedRequest waiting = fixture.plan(2, 12_000, "waiting");
			assertThat(waiting.ticket.withdraw(), is(true));
			running.forEach((request) -> request.grant.ended(AttemptResult.COMPLETED));
			assertThat(waiting.waits(), is(true));
		}

		private List<PlacedRequest> fill(PlacementFixture fixture, int priority) {
			List<PlacedRequest> running = new ArrayList<>();
			PlacedRequest next = fixture.plan(priority, 12_000, "fill-0");
			while (!next.waits()) {
				running.add(next);
				next = fixture.plan(priority, 12_000, "fill-" + running.size());
			}
			assertThat(next.ticket.withdraw(), is(true));
			return running;
		}

	}

	@Nested
	class WhenStreamsWouldNotEndInTime {

		@Test
		void theEngineTakesNoMoreLongPrompts() {
			PlacementFixture fixture = new PlacementFixture(1, DOMAIN, 1);
			PlacedRequest plan = fixture.plan(2, 12_000, "slow");
			plan.grant.firstToken();
			for (int event = 0; event < 60; event++) {
				fixture.clock.advance(Duration.ofMillis(400));
				plan.grant.tokens(1);
			}
			assertThat(fixture.plan(2, 12_000, "next").waits(), is(true));
			assertThat(fixture.chat().waits(), is(false));
		}

	}

	@Nested
	class WhenUpstreamsFail {

		@Test
		void anUnreachableOneIsLeftAlone() {
			PlacementFixture fixture = new PlacementFixture(4, DOMAIN, 1);
			PlacedRequest first = fixture.lookup();
			String unreachable = first.upstream();
			first.grant.ended(AttemptResult.UNREACHABLE);
			for (int number = 0; number < 20; number++) {
				PlacedRequest next = fixture.lookup();
				assertThat(next.upstream(), not(equalTo(unreachable)));
				next.grant.ended(AttemptResult.COMPLETED);
			}
		}

		@Test
		void theLastOneIsUsedAllTheSame() {
			PlacementFixture fixture = new PlacementFixture(1, DOMAIN, 1);
			fixture.lookup().grant.ended(AttemptResult.UNREACHABLE);
			assertThat(fixture.lookup().upstream(), equalTo("engine-0"));
		}

		@Test
		void aNewIncarnationIsTrusted() {
			PlacementFixture fixture = new PlacementFixture(2, DOMAIN, 1);
			PlacedRequest first = fixture.lookup();
			assertThat(first.upstream(), equalTo("engine-0"));
			first.grant.ended(AttemptResult.UNREACHABLE);
			assertThat(fixture.lookup().upstream(), equalTo("engine-1"));
			fixture.relist(0, HostState.LIVE, 2);
			assertThat(fixture.lookup().upstream(), equalTo("engine-0"));
		}

		@Test
		void theEventsTellThatItIsPausedAndTrustedAgain() {
			PlacementFixture fixture = new PlacementFixture(1, DOMAIN, 1);
			fixture.lookup().grant.ended(AttemptResult.UNREACHABLE);
			fixture.clock.advance(Duration.ofSeconds(1));
			fixture.lookup().grant.ended(AttemptResult.COMPLETED);
			fixture.lookup().grant.ended(AttemptResult.COMPLETED);
			assertThat(fixture.events.stream().map(Event::type).filter((type) -> type.startsWith("upstream-")).toList(),
					contains("upstream-paused", "upstream-trusted"));
		}

		@Test
		void aLeavingOneGetsNoFirstAndNoFurtherAttempt() {
			PlacementFixture fixture = new PlacementFixture(2, DOMAIN, 1);
			fixture.relist(0, HostState.LEAVING, 1);
			PlacedRequest lookup = fixture.lookup();
			assertThat(lookup.upstream(), equalTo("engine-1"));
			lookup.grant.ended(AttemptResult.CONNECTION_LOST);
			assertThat(lookup.retry(RetryReason.CONNECTION_LOST), equalTo(RetryDecision.NO_UPSTREAM));
		}

	}

	@Nested
	class WhenAServiceFailsWhileCallersPressAgain {

		@Test
		void repeatsStayWithinTheirShareInAnyWindow() {
			PlacementFixture fixture = new PlacementFixture(4, DOMAIN, 1);
			int repeats = 0;
			for (int number = 0; number < 200; number++) {
				PlacedRequest lookup = fixture.lookup();
				lookup.grant.ended(AttemptResult.FAILED);
				repeats += (lookup.retry(RetryReason.FAILED) == RetryDecision.GRANTED) ? 1 : 0;
				fixture.clock.advance(Duration.ofMillis(40));
			}
			assertThat(repeats, lessThanOrEqualTo((int) (4 + 0.16 * 200)));
		}

		@Test
		void aRequestThatMayHaveRunGetsNoMoreThanItsAttempts() {
			PlacementFixture fixture = new PlacementFixture(4, DOMAIN, 1);
			PlacedRequest lookup = fixture.lookup();
			lookup.grant.ended(AttemptResult.FAILED);
			assertThat(lookup.retry(RetryReason.FAILED), equalTo(RetryDecision.GRANTED));
			lookup.grant.ended(AttemptResult.FAILED);
			assertThat(lookup.retry(RetryReason.FAILED), equalTo(RetryDecision.ATTEMPTS_EXHAUSTED));
		}

	}

	@Nested
	class WhenTheDaemonShutsDown {

		@Test
		void newRequestsAreRefused() {
			PlacementFixture fixture = new PlacementFixture(2, DOMAIN, 1);
			fixture.controller.drain();
			assertThat(fixture.booking().refusal.kind(), equalTo(ErrorKind.SHUTTING_DOWN));
		}

	}

}
