package org.cyclamenstall.test.integration;

import java.util.List;
import java.util.stream.IntStream;

import org.cyclamenstall.junit.TestSite;
import org.cyclamenstall.standin.caller.CallerAnswer;
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
 * Tests that a request that is answered {@code not-run} was not executed, and is not
 * executed afterwards, by the count of the plain services.
 */
class NotRunTests {

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

	private static CallerAnswer charge(String key) {
		return site.caller(0).book(TestSite.CHARGES, key, BODY);
	}

	private static void everyService(ServiceFaults faults) {
		site.site().services().forEach((upstream) -> upstream.standin().setFaults(faults));
	}

	private static void assertNeverRuns(String key) {
		assertThat(site.site().executionsOfKey(key), is(0L));
		site.restore();
		String barrier = site.newKey();
		assertThat(site.caller(0).book(TestSite.CHARGES, barrier, BODY).status(), is(200));
		assertThat(site.site().executionsOfKey(key), is(0L));
	}

	@Nested
	class WhenNoUpstreamCanBeReached {

		@Test
		void aRefusedConnectionProvesNotRun() {
			String key = site.newKey();
			site.site().services().forEach((upstream) -> upstream.proxy().refuse());
			CallerAnswer answer = charge(key);
			assertThat(answer.toString(), answer.outcome(), is("not-run"));
			assertNeverRuns(key);
		}

		@Test
		void aConnectionThatIsResetProvesNothing() {
			String key = site.newKey();
			site.site().services().forEach((upstream) -> upstream.proxy().cut());
			CallerAnswer answer = charge(key);
			assertThat(answer.toString(), answer.status(), not(200));
			if (answer.outcome().equals("not-run")) {
				assertNeverRuns(key);
			}
		}

		@Test
		void noListedUpstreamIsNotRun() {
			String key = site.newKey();
			site.site().services().forEach((upstream) -> site.site().publish(upstream, "leaving"));
			site.awaitUpstreamStates("ghiseu", "leaving");
			CallerAnswer answer = charge(key);
			assertThat(answer.toString(), answer.errorKind(), is("no-live-upstream"));
			assertThat(answer.outcome(), is("not-run"));
			assertNeverRuns(key);
		}

	}

	@Nested
	class WhenTheServiceRefuses {

		@Test
		void aDeclaredStatusIsRetriedAndRunsOnce() {
			String key = site.newKey();
			site.site()
				.services()
				.get(0)
				.standin()
				.setFaults(new ServiceFaults(null, null, null, 1, null, null, null, null, null));
			CallerAnswer answer = charge(key);
			assertThat(answer.toString(), answer.status(), is(200));
			assertThat(site.site().executionsOfKey(key), is(1L));
		}

		@Test
		void aDeclaredStatusOfEveryUpstreamIsNotRun() {
			String key = site.newKey();
			everyService(new ServiceFaults(null, null, null, 1_000, null, null, null, null, null));
			CallerAnswer answer = charge(key);
			assertThat(answer.toString(), answer.outcome(), is("not-run"));
			assertNeverRuns(key);
		}

		@Test
		void anUndeclaredStatusIsRelayedAndProvesNothing() {
			String key = site.newKey();
			everyService(new ServiceFaults(null, null, null, 1_000, null, null, null, null, null));
			CallerAnswer answer = site.caller(0).book(TestSite.BOOKINGS, key, BODY);
			assertThat(answer.toString(), answer.outcome(), not("not-run"));
			assertThat(answer.status(), is(503));
		}

	}

	@Nested
	class WhenTheConnectionEndsAfterTheRequestLeft {

		@Test
		void aRequestThatWasNotExecutedIsStillUnknown() {
			String key = site.newKey();
			everyService(new ServiceFaults(null, null, null, null, 1_000, null, null, null, null));
			CallerAnswer answer = charge(key);
			assertThat(answer.toString(), answer.outcome(), is("unknown"));
		}

		@Test
		void aRequestThatWasExecutedIsUnknownAndRanOnce() {
			String key = site.newKey();
			everyService(new ServiceFaults(null, null, null, null, null, 1_000, null, null, null));
			CallerAnswer answer = charge(key);
			assertThat(answer.toString(), answer.outcome(), is("unknown"));
			assertThat(site.site().executionsOfKey(key), is(1L));
		}

		@Test
		void anUnnamedRequestIsNotSentAgain() {
			everyService(new ServiceFaults(null, null, null, null, null, 1_000, null, null, null));
			String body = "{\"unnamed\":\"" + site.newKey() + "\"}";
			CallerAnswer answer = site.caller(0).send("POST", TestSite.CHARGES, body);
			assertThat(answer.toString(), answer.outcome(), is("unknown"));
			assertThat(site.executionsOf(TestSite.CHARGES, body), is(1L));
		}

		@Test
		void aRequestHeldBeforeTheServiceIsUnknownAndRunsAtMostOnce() {
			String key = site.newKey();
			List<FaultRule> held = site.site()
				.services()
				.stream()
				.map((upstream) -> upstream.proxy()
					.add(FaultRule.on(Direction.REQUEST, FaultAction.HOLD).matching(key).build()))
				.toList();
			CallerAnswer answer = charge(key);
			assertThat(answer.toString(), answer.errorKind(), is("upstream-timeout"));
			assertThat(answer.outcome(), is("unknown"));
			held.forEach(FaultRule::release);
			assertThat(IntStream.range(0, 2)
				.mapToObj((daemon) -> site.caller(daemon).book(TestSite.CHARGES, key, BODY))
				.map(CallerAnswer::status)
				.toList(), is(List.of(409, 409)));
		}

	}

	@Nested
	class WhenRefusedBeforeDispatch {

		@Test
		void aRequestWithoutKeyIsNotRun() {
			String body = "{\"nokey\":\"" + site.newKey() + "\"}";
			CallerAnswer answer = site.caller(0).send("POST", TestSite.BOOKINGS, body);
			assertThat(answer.errorKind(), is("idempotency-key-required"));
			assertThat(site.executionsOf(TestSite.BOOKINGS, body), is(0L));
		}

		@Test
		void aStoreThatIsDownIsNotRunAndStaysSo() {
			String key = site.newKey();
			site.site().store().setFaults(new StoreFaults(null, null, null, null, true, null));
			CallerAnswer answer = charge(key);
			assertThat(answer.toString(), answer.outcome(), is("not-run"));
			assertNeverRuns(key);
		}

	}

}
