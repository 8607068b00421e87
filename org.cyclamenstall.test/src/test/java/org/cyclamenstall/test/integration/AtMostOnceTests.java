package org.cyclamenstall.test.integration;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;

import org.cyclamenstall.junit.TestSite;
import org.cyclamenstall.standin.caller.CallerCall;
import org.cyclamenstall.standin.caller.CallerResponse;
import org.cyclamenstall.standin.caller.ChatResponseForm;
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
 * Tests that a booking with an idempotency key is executed at most once, according to the
 * execution counts of the plain services.
 */
class AtMostOnceTests {

	private static final String BODY = "{\"crates\":40}";

	private static final String CLAIM_WRITE = "PUT \\S*/claims/\\S*cas=0";

	private static final Duration HIT_TIMEOUT = Duration.ofSeconds(60);

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

	private static CallerResponse submit(int daemon, String key) {
		return site.caller(daemon).postWithKey(TestSite.BOOKINGS, key, BODY);
	}

	private static CallerCall startSubmission(int daemon, String key) {
		return site.caller(daemon).startPostWithKey(TestSite.BOOKINGS, key, BODY);
	}

	private static FaultRule holdClaimResponse(int daemon) {
		return site.daemon(daemon)
			.storeProxy()
			.addRule(FaultRule.on(Direction.RESPONSE, FaultAction.HOLD).requestMatching(CLAIM_WRITE).times(1).build());
	}

	private static List<FaultRule> holdServiceResponses(String key) {
		return site.site()
			.services()
			.stream()
			.map((upstream) -> upstream.proxy()
				.addRule(FaultRule.on(Direction.RESPONSE, FaultAction.HOLD).requestMatching(key).build()))
			.toList();
	}

	private static void awaitExecution(String key) {
		ConditionWaiter.await(() -> site.site().executionsOfKey(key) > 0, () -> key + " was not executed");
	}

	private static void waitMillis(int millis) {
		long endNanos = System.nanoTime() + Duration.ofMillis(millis).toNanos();
		ConditionWaiter.await(() -> System.nanoTime() - endNanos > 0, () -> "the clock did not advance");
	}

	private static long executions(String key) {
		return site.site().executionsOfKey(key);
	}

	@Nested
	class WithoutFaults {

		@Test
		void aBookingSubmittedToAllHostsAtOnceRunsOnce() {
			String key = site.newIdempotencyKey();
			List<CallerCall> calls = IntStream.range(0, DAEMONS)
				.mapToObj((daemon) -> startSubmission(daemon, key))
				.toList();
			List<CallerResponse> responses = calls.stream().map(CallerCall::awaitResponse).toList();
			assertThat(executions(key), is(1L));
			assertThat(responses.toString(), responses.stream().map(CallerResponse::status).toList(), hasItem(200));
			assertThat(responses.toString(), responses.stream().map(CallerResponse::outcome).toList(),
					everyItem(not("not-run")));
		}

		@Test
		void aRetryAtAnotherHostGetsTheFirstResponse() {
			String key = site.newIdempotencyKey();
			CallerResponse first = submit(0, key);
			CallerResponse second = submit(1, key);
			assertThat(first.toString(), first.status(), is(200));
			assertThat(second.body(), is(first.body()));
			assertThat(executions(key), is(1L));
		}

		@Test
		void theSameKeyWithAnotherBodyIsRejected() {
			String key = site.newIdempotencyKey();
			submit(0, key);
			CallerResponse differentBody = site.caller(1).postWithKey(TestSite.BOOKINGS, key, "{\"crates\":41}");
			assertThat(differentBody.errorKind(), is("idempotency-key-reused"));
			assertThat(executions(key), is(1L));
		}

	}

	@Nested
	class WhenAResponseOfTheStoreIsLost {

		@Test
		void theClaimIsReadBackAndTheBookingRunsOnce() {
			String key = site.newIdempotencyKey();
			FaultRule lostResponse = site.daemon(0)
				.storeProxy()
				.addRule(FaultRule.on(Direction.RESPONSE, FaultAction.RESET)
					.requestMatching(CLAIM_WRITE)
					.times(1)
					.build());
			CallerResponse response = submit(0, key);
			assertThat(lostResponse.hits(), is(1));
			assertThat(response.toString(), response.status(), is(200));
			assertThat(executions(key), is(1L));
		}

		@Test
		void aBookingWhoseClaimCannotBeReadBackIsNotRunAndTheRetryRuns() {
			String key = site.newIdempotencyKey();
			site.daemon(0)
				.storeProxy()
				.addRule(FaultRule.on(Direction.RESPONSE, FaultAction.RESET).requestMatching("/claims/").build());
			CallerResponse rejected = submit(0, key);
			assertThat(rejected.errorKind(), is("claim-store-unavailable"));
			assertThat(rejected.outcome(), is("not-run"));
			assertThat(executions(key), is(0L));
			CallerResponse second = submit(1, key);
			assertThat(second.toString(), second.status(), is(200));
			assertThat(executions(key), is(1L));
		}

	}

	@Nested
	class WhenTheStoreIsDown {

		@Test
		void bookingsAreRejectedAsNotRunAndOtherTrafficIsServed() {
			String key = site.newIdempotencyKey();
			site.site().store().setFaults(new StoreFaults(Availability.REFUSING, null, null, null, null, null));
			CallerResponse rejected = submit(0, key);
			assertThat(rejected.errorKind(), is("claim-store-unavailable"));
			assertThat(rejected.outcome(), is("not-run"));
			assertThat(rejected.header("Retry-After").isPresent(), is(true));
			assertThat(site.caller(0).get(TestSite.BOOKINGS + "/4").status(), is(200));
			assertThat(site.caller(0).chat(TestSite.CHAT, "ramp", 4, ChatResponseForm.NON_STREAMED).isComplete(),
					is(true));
			assertThat(executions(key), is(0L));
		}

	}

	@Nested
	class WhenTheServiceDoesNotRespond {

		@Test
		void theOutcomeIsUnknownAndTheRetryDoesNotRunTheBookingAgain() {
			String key = site.newIdempotencyKey();
			site.site()
				.services()
				.forEach((upstream) -> upstream.standin()
					.setFaults(new ServiceFaults(null, null, null, null, null, 1, null, null, null)));
			CallerResponse first = submit(0, key);
			assertThat(first.toString(), first.outcome(), is("unknown"));
			CallerResponse second = submit(1, key);
			assertThat(second.toString(), second.errorKind(), is("idempotency-outcome-unknown"));
			assertThat(executions(key), is(1L));
		}

	}

	@Nested
	class WhenTheClaimantIsKilled {

		@Test
		void aBookingThatWasSentIsNotRunAgain() {
			String key = site.newIdempotencyKey();
			holdServiceResponses(key);
			startSubmission(0, key);
			awaitExecution(key);
			site.daemon(0).process().kill();
			CallerResponse second = submit(1, key);
			assertThat(second.toString(), second.outcome(), is("unknown"));
			assertThat(executions(key), is(1L));
		}

		@Test
		void aRetryOfABookingThatWasClaimedButNotSentHasAnUnknownOutcome() {
			String key = site.newIdempotencyKey();
			FaultRule holdRule = holdClaimResponse(0);
			startSubmission(0, key);
			assertThat(holdRule.awaitHit(HIT_TIMEOUT), is(true));
			site.daemon(0).process().kill();
			CallerResponse second = submit(1, key);
			assertThat(second.toString(), second.outcome(), is("unknown"));
			assertThat(executions(key), is(0L));
		}

	}

	@Nested
	class WhenTheClaimantIsPaused {

		@Test
		void aRequestWithAnExpiredClaimIsNotSentAndTheRetryRuns() {
			String key = site.newIdempotencyKey();
			FaultRule holdRule = holdClaimResponse(0);
			CallerCall pausedCall = startSubmission(0, key);
			assertThat(holdRule.awaitHit(HIT_TIMEOUT), is(true));
			site.daemon(0).process().suspend();
			CallerResponse whilePaused = submit(1, key);
			assertThat(whilePaused.toString(), whilePaused.outcome(), is("unknown"));
			holdRule.release();
			waitMillis(2 * TestSite.MAXIMUM_CLAIM_AGE_MILLIS);
			site.daemon(0).process().resume();
			CallerResponse lateResponse = pausedCall.awaitResponse();
			assertThat(lateResponse.toString(), lateResponse.outcome(), is("not-run"));
			assertThat(executions(key), is(0L));
			CallerResponse second = submit(1, key);
			assertThat(second.toString(), second.status(), is(200));
			assertThat(executions(key), is(1L));
		}

		@Test
		void aResponseReceivedDuringThePauseIsRelayedOnce() {
			String key = site.newIdempotencyKey();
			List<FaultRule> holdRules = holdServiceResponses(key);
			CallerCall pausedCall = startSubmission(0, key);
			awaitExecution(key);
			site.daemon(0).process().suspend();
			holdRules.forEach(FaultRule::release);
			CallerResponse whilePaused = submit(1, key);
			assertThat(whilePaused.toString(), whilePaused.outcome(), is("unknown"));
			site.daemon(0).process().resume();
			CallerResponse lateResponse = pausedCall.awaitResponse();
			assertThat(lateResponse.toString(), lateResponse.status(), is(200));
			assertThat(executions(key), is(1L));
		}

	}

	@Nested
	class WhenRetriedWhileInProgress {

		@Test
		void theRetryIsRejectedAsInProgress() {
			String key = site.newIdempotencyKey();
			List<FaultRule> holdRules = holdServiceResponses(key);
			CallerCall first = startSubmission(0, key);
			awaitExecution(key);
			CallerResponse second = submit(1, key);
			assertThat(second.toString(), second.errorKind(), is("idempotency-in-progress"));
			holdRules.forEach(FaultRule::release);
			assertThat(first.awaitResponse().status(), is(200));
			assertThat(executions(key), is(1L));
			assertThat(holdRules.stream().mapToInt(FaultRule::hits).sum(), greaterThanOrEqualTo(1));
		}

	}

}
