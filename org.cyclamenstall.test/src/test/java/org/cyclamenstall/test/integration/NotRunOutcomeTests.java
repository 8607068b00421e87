package org.cyclamenstall.test.integration;

import java.util.List;
import java.util.stream.IntStream;

import org.cyclamenstall.junit.TestSite;
import org.cyclamenstall.standin.caller.CallerResponse;
import org.cyclamenstall.standin.faultproxy.Direction;
import org.cyclamenstall.standin.faultproxy.FaultAction;
import org.cyclamenstall.standin.faultproxy.FaultRule;
import org.cyclamenstall.standin.platform.StoreFaults;
import org.cyclamenstall.standin.service.ServiceFaults;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Tests that a request with the outcome {@code not-run} has not been executed and is not
 * executed later, according to the execution counts of the plain services.
 */
class NotRunOutcomeTests {

	private static final String BODY = "{\"markers\":3}";

	private static TestSite site;

	@BeforeAll
	static void launch() {
		site = TestSite.launch(TestSite.settings(2));
	}

	@AfterAll
	static void close() {
		site.close();
	}

	@AfterEach
	void restore() {
		site.restore();
	}

	private static CallerResponse postCharge(String key) {
		return site.caller(0).postWithKey(TestSite.CHARGES, key, BODY);
	}

	private static void setFaultsOnAllServices(ServiceFaults faults) {
		site.site().services().forEach((upstream) -> upstream.standin().setFaults(faults));
	}

	// Restores the site and sends another request before the second check, so that a late
	// execution is counted too.
	private static void assertNeverExecuted(String key) {
		assertThat(site.site().executionsOfKey(key), is(0L));
		site.restore();
		String barrierKey = site.newIdempotencyKey();
		assertThat(site.caller(0).postWithKey(TestSite.CHARGES, barrierKey, BODY).status(), is(200));
		assertThat(site.site().executionsOfKey(key), is(0L));
	}

	@Nested
	class WhenNoUpstreamCanBeReached {

		@Test
		void aRefusedConnectionProvesNotRun() {
			String key = site.newIdempotencyKey();
			site.site().services().forEach((upstream) -> upstream.proxy().refuseUntilRestored());
			CallerResponse response = postCharge(key);
			assertThat(response.toString(), response.outcome(), is("not-run"));
			assertNeverExecuted(key);
		}

		@Test
		void aResetConnectionIsReportedAsNotRunOnlyIfNeverExecuted() {
			String key = site.newIdempotencyKey();
			site.site().services().forEach((upstream) -> upstream.proxy().resetUntilRestored());
			CallerResponse response = postCharge(key);
			assertThat(response.toString(), response.status(), not(200));
			if (response.outcome().equals("not-run")) {
				assertNeverExecuted(key);
			}
		}

		@Test
		void aRequestWithoutLiveUpstreamIsNotRun() {
			String key = site.newIdempotencyKey();
			site.site().services().forEach((upstream) -> site.site().setUpstreamState(upstream, "leaving"));
			site.awaitUpstreamStates("ghiseu", "leaving");
			CallerResponse response = postCharge(key);
			assertThat(response.toString(), response.errorKind(), is("no-live-upstream"));
			assertThat(response.outcome(), is("not-run"));
			assertNeverExecuted(key);
		}

	}

	@Nested
	class WhenTheServiceRefuses {

		@Test
		void aRequestRefusedByOneUpstreamIsRetriedAndRunsOnce() {
			String key = site.newIdempotencyKey();
			site.site()
				.services()
				.get(0)
				.standin()
				.setFaults(new ServiceFaults(null, null, null, 1, null, null, null, null, null));
			CallerResponse response = postCharge(key);
			assertThat(response.toString(), response.status(), is(200));
			assertThat(site.site().executionsOfKey(key), is(1L));
		}

		@Test
		void aRequestRefusedByEveryUpstreamIsNotRun() {
			String key = site.newIdempotencyKey();
			setFaultsOnAllServices(new ServiceFaults(null, null, null, 1_000, null, null, null, null, null));
			CallerResponse response = postCharge(key);
			assertThat(response.toString(), response.outcome(), is("not-run"));
			assertNeverExecuted(key);
		}

		@Test
		void anUndeclaredStatusIsRelayedAndDoesNotProveNotRun() {
			String key = site.newIdempotencyKey();
			setFaultsOnAllServices(new ServiceFaults(null, null, null, 1_000, null, null, null, null, null));
			CallerResponse response = site.caller(0).postWithKey(TestSite.BOOKINGS, key, BODY);
			assertThat(response.toString(), response.outcome(), not("not-run"));
			assertThat(response.status(), is(503));
		}

	}

	@Nested
	class WhenTheConnectionIsLostAfterSending {

		@Test
		void aRequestThatWasNotExecutedHasAnUnknownOutcome() {
			String key = site.newIdempotencyKey();
			setFaultsOnAllServices(new ServiceFaults(null, null, null, null, 1_000, null, null, null, null));
			CallerResponse response = postCharge(key);
			assertThat(response.toString(), response.outcome(), is("unknown"));
		}

		@Test
		void aRequestThatWasExecutedHasAnUnknownOutcomeAndRunsOnce() {
			String key = site.newIdempotencyKey();
			setFaultsOnAllServices(new ServiceFaults(null, null, null, null, null, 1_000, null, null, null));
			CallerResponse response = postCharge(key);
			assertThat(response.toString(), response.outcome(), is("unknown"));
			assertThat(site.site().executionsOfKey(key), is(1L));
		}

		@Test
		void aRequestWithoutKeyIsNotRetried() {
			setFaultsOnAllServices(new ServiceFaults(null, null, null, null, null, 1_000, null, null, null));
			String body = "{\"unnamed\":\"" + site.newIdempotencyKey() + "\"}";
			CallerResponse response = site.caller(0).send("POST", TestSite.CHARGES, body);
			assertThat(response.toString(), response.outcome(), is("unknown"));
			assertThat(site.executionsOf(TestSite.CHARGES, body), is(1L));
		}

		@Test
		void aRequestHeldBeforeTheServiceHasAnUnknownOutcomeAndRetriesAreRejected() {
			String key = site.newIdempotencyKey();
			List<FaultRule> holdRules = site.site()
				.services()
				.stream()
				.map((upstream) -> upstream.proxy()
					.addRule(FaultRule.on(Direction.REQUEST, FaultAction.HOLD).requestMatching(key).build()))
				.toList();
			CallerResponse response = postCharge(key);
			assertThat(response.toString(), response.errorKind(), is("upstream-timeout"));
			assertThat(response.outcome(), is("unknown"));
			holdRules.forEach(FaultRule::release);
			assertThat(IntStream.range(0, 2)
				.mapToObj((daemon) -> site.caller(daemon).postWithKey(TestSite.CHARGES, key, BODY))
				.map(CallerResponse::status)
				.toList(), is(List.of(409, 409)));
		}

	}

	@Nested
	class WhenRefusedBeforeDispatch {

		@Test
		void aRequestWithoutKeyIsNotRun() {
			String body = "{\"nokey\":\"" + site.newIdempotencyKey() + "\"}";
			CallerResponse response = site.caller(0).send("POST", TestSite.BOOKINGS, body);
			assertThat(response.errorKind(), is("idempotency-key-required"));
			assertThat(site.executionsOf(TestSite.BOOKINGS, body), is(0L));
		}

		@Test
		void aRequestWhileTheStoreIsDownIsNotRun() {
			String key = site.newIdempotencyKey();
			site.site().store().setFaults(new StoreFaults(null, null, null, null, true, null));
			CallerResponse response = postCharge(key);
			assertThat(response.toString(), response.outcome(), is("not-run"));
			assertNeverExecuted(key);
		}

	}

}
