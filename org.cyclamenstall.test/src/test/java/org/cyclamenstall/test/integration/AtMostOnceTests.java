package org.cyclamenstall.test.integration;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;

import org.cyclamenstall.junit.TestSite;
import org.cyclamenstall.standin.caller.CallerAnswer;
import org.cyclamenstall.standin.caller.CallerCall;
import org.cyclamenstall.standin.caller.ChatForm;
import org.cyclamenstall.standin.faultproxy.Direction;
import org.cyclamenstall.standin.faultproxy.FaultAction;
import org.cyclamenstall.standin.faultproxy.FaultRule;
import org.cyclamenstall.standin.http.Availability;
import org.cyclamenstall.standin.platform.StoreFaults;
import org.cyclamenstall.standin.service.ServiceFaults;
import org.cyclamenstall.standin.site.ConditionWaiter;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Tests that a named booking runs at most once, by the count of the plain services.
 */
class AtMostOnceTests {

	private static final String BODY = "{\"crates\":40}";

	private static final String CLAIM_WRITE = "PUT \\S*/claims/\\S*cas=0";

	private static final Duration LIMIT = Duration.ofSeconds(60);

	private static final int DAEMONS = 5;

	private static TestSite site;

	@BeforeAll
	static void launch() {
		site = TestSite.launch(TestSite.settings(DAEMONS));
	}

	@AfterAll
	static void close() {
		site.close();
	}

	@AfterEach
	void restore() {
		site.restore();
	}

	private static CallerAnswer press(int daemon, String key) {
		return site.caller(daemon).book(TestSite.BOOKINGS, key, BODY);
	}

	private static CallerCall startPress(int daemon, String key) {
		return site.caller(daemon).startBooking(TestSite.BOOKINGS, key, BODY);
	}

	private static FaultRule holdClaimAnswer(int daemon) {
		return site.daemon(daemon)
			.storeProxy()
			.add(FaultRule.on(Direction.ANSWER, FaultAction.HOLD).matching(CLAIM_WRITE).times(1).build());
	}

	private static List<FaultRule> holdServiceAnswers(String key) {
		return site.site()
			.services()
			.stream()
			.map((upstream) -> upstream.proxy()
				.add(FaultRule.on(Direction.ANSWER, FaultAction.HOLD).matching(key).build()))
			.toList();
	}

	private static void awaitExecution(String key) {
		ConditionWaiter.await(() -> site.site().executionsOfKey(key) > 0, () -> key + " was not executed");
	}

	private static void letPass(int millis) {
		long end = System.nanoTime() + Duration.ofMillis(millis).toNanos();
		ConditionWaiter.await(() -> System.nanoTime() - end > 0, () -> "time stands still");
	}

	private static long executions(String key) {
		return site.site().executionsOfKey(key);
	}

	@Nested
	class WithoutFaults {

		@Test
		void aBookingPressedOnAllHostsAtOnceRunsOnce() {
			String key = site.newKey();
			List<CallerCall> calls = IntStream.range(0, DAEMONS).mapToObj((daemon) -> startPress(daemon, key)).toList();
			List<CallerAnswer> answers = calls.stream().map(CallerCall::answer).toList();
			assertThat(executions(key), is(1L));
			assertThat(answers.toString(), answers.stream().map(CallerAnswer::status).toList(), hasItem(200));
			assertThat(answers.toString(), answers.stream().map(CallerAnswer::outcome).toList(),
					everyItem(not("not-run")));
		}

		@Test
		void aSecondPressAtAnotherHostGetsTheFirstAnswer() {
			String key = site.newKey();
			CallerAnswer first = press(0, key);
			CallerAnswer second = press(1, key);
			assertThat(first.toString(), first.status(), is(200));
			assertThat(second.body(), is(first.body()));
			assertThat(executions(key), is(1L));
		}

		@Test
		void theSameKeyWithAnotherBodyIsRefused() {
			String key = site.newKey();
			press(0, key);
			CallerAnswer other = site.caller(1).book(TestSite.BOOKINGS, key, "{\"crates\":41}");
			assertThat(other.errorKind(), is("idempotency-key-reused"));
			assertThat(executions(key), is(1L));
		}

	}

	@Nested
	class WhenTheStoreLosesAnAnswer {

		@Test
		void theClaimIsReadBackAndTheBookingRunsOnce() {
			String key = site.newKey();
			FaultRule lost = site.daemon(0)
				.storeProxy()
				.add(FaultRule.on(Direction.ANSWER, FaultAction.RESET).matching(CLAIM_WRITE).times(1).build());
			CallerAnswer answer = press(0, key);
			assertThat(lost.hits(), is(1));
			assertThat(answer.toString(), answer.status(), is(200));
			assertThat(executions(key), is(1L));
		}

		@Test
		void aClaimThatCannotBeReadBackDidNotRunAndTheNextPressRuns() {
			String key = site.newKey();
			site.daemon(0)
				.storeProxy()
				.add(FaultRule.on(Direction.ANSWER, FaultAction.RESET).matching("/claims/").build());
			CallerAnswer refused = press(0, key);
			assertThat(refused.errorKind(), is("claim-store-unavailable"));
			assertThat(refused.outcome(), is("not-run"));
			assertThat(executions(key), is(0L));
			CallerAnswer second = press(1, key);
			assertThat(second.toString(), second.status(), is(200));
			assertThat(executions(key), is(1L));
		}

	}

	@Nested
	class WhenTheStoreIsDown {

		@Test
		void bookingsAreRefusedAsNotRunAndOtherTrafficGoesOn() {
			String key = site.newKey();
			site.site().store().setFaults(new StoreFaults(Availability.REFUSING, null, null, null, null, null));
			CallerAnswer refused = press(0, key);
			assertThat(refused.errorKind(), is("claim-store-unavailable"));
			assertThat(refused.outcome(), is("not-run"));
			assertThat(refused.header("Retry-After").isPresent(), is(true));
			assertThat(site.caller(0).lookUp(TestSite.BOOKINGS + "/4").status(), is(200));
			assertThat(site.caller(0).chat(TestSite.CHAT, "ramp", 4, ChatForm.WHOLE).looksWhole(), is(true));
			assertThat(executions(key), is(0L));
		}

	}

	@Nested
	class WhenTheServiceGivesNoAnswer {

		@Test
		void theOutcomeIsUnknownAndNoPressRunsItAgain() {
			String key = site.newKey();
			site.site()
				.services()
				.forEach((upstream) -> upstream.standin()
					.setFaults(new ServiceFaults(null, null, null, null, null, 1, null, null, null)));
			CallerAnswer first = press(0, key);
			assertThat(first.toString(), first.outcome(), is("unknown"));
			CallerAnswer second = press(1, key);
			assertThat(second.toString(), second.errorKind(), is("idempotency-outcome-unknown"));
			assertThat(executions(key), is(1L));
		}

	}

	@Nested
	class WhenTheClaimantIsKilled {

		@Test
		void afterSendingNoPressRunsItAgain() {
			String key = site.newKey();
			holdServiceAnswers(key);
			startPress(0, key);
			awaitExecution(key);
			site.daemon(0).process().kill();
			CallerAnswer second = press(1, key);
			assertThat(second.toString(), second.outcome(), is("unknown"));
			assertThat(executions(key), is(1L));
		}

		@Test
		void beforeSendingNoPressClaimsThatItDidNotRun() {
			String key = site.newKey();
			FaultRule held = holdClaimAnswer(0);
			startPress(0, key);
			assertThat(held.awaitHit(LIMIT), is(true));
			site.daemon(0).process().kill();
			CallerAnswer second = press(1, key);
			assertThat(second.toString(), second.outcome(), is("unknown"));
			assertThat(executions(key), is(0L));
		}

	}

	@Nested
	class WhenTheClaimantIsPaused {

		@Test
		void aLateClaimIsNotSentAndTheNextPressRuns() {
			String key = site.newKey();
			FaultRule held = holdClaimAnswer(0);
			CallerCall paused = startPress(0, key);
			assertThat(held.awaitHit(LIMIT), is(true));
			site.daemon(0).process().freeze();
			CallerAnswer whilePaused = press(1, key);
			assertThat(whilePaused.toString(), whilePaused.outcome(), is("unknown"));
			held.release();
			letPass(2 * TestSite.CLAIM_AGE_MILLIS);
			site.daemon(0).process().thaw();
			CallerAnswer late = paused.answer();
			assertThat(late.toString(), late.outcome(), is("not-run"));
			assertThat(executions(key), is(0L));
			CallerAnswer second = press(1, key);
			assertThat(second.toString(), second.status(), is(200));
			assertThat(executions(key), is(1L));
		}

		@Test
		void anAnswerThatCameMeanwhileIsRelayedOnce() {
			String key = site.newKey();
			List<FaultRule> held = holdServiceAnswers(key);
			CallerCall paused = startPress(0, key);
			awaitExecution(key);
			site.daemon(0).process().freeze();
			held.forEach(FaultRule::release);
			CallerAnswer whilePaused = press(1, key);
			assertThat(whilePaused.toString(), whilePaused.outcome(), is("unknown"));
			site.daemon(0).process().thaw();
			CallerAnswer late = paused.answer();
			assertThat(late.toString(), late.status(), is(200));
			assertThat(executions(key), is(1L));
		}

	}

	@Nested
	class WhenPressedAgainWhileItRuns {

		@Test
		void theSecondPressIsToldSo() {
			String key = site.newKey();
			List<FaultRule> held = holdServiceAnswers(key);
			CallerCall first = startPress(0, key);
			awaitExecution(key);
			CallerAnswer second = press(1, key);
			assertThat(second.toString(), second.errorKind(), is("idempotency-in-progress"));
			held.forEach(FaultRule::release);
			assertThat(first.answer().status(), is(200));
			assertThat(executions(key), is(1L));
			assertThat(held.stream().mapToInt(FaultRule::hits).sum(), greaterThanOrEqualTo(1));
		}

	}

}
