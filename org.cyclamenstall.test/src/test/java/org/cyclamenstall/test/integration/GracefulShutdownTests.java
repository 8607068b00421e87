package org.cyclamenstall.test.integration;

import java.util.ArrayList;
import java.util.List;

import org.cyclamenstall.junit.TestSite;
import org.cyclamenstall.standin.caller.CallerCall;
import org.cyclamenstall.standin.caller.CallerResponse;
import org.cyclamenstall.standin.caller.ChatResponseForm;
import org.cyclamenstall.standin.engine.EngineOptions;
import org.cyclamenstall.standin.faultproxy.Direction;
import org.cyclamenstall.standin.faultproxy.FaultAction;
import org.cyclamenstall.standin.faultproxy.FaultRule;
import org.cyclamenstall.standin.http.Availability;
import org.cyclamenstall.standin.platform.StoreFaults;
import org.cyclamenstall.standin.site.ConditionWaiter;
import org.cyclamenstall.standin.site.DaemonInstance;
import org.cyclamenstall.standin.site.UpstreamGroup;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests that a daemon completes all accepted requests before it shuts down. In the settle
 * time at the start of a shutdown, the daemon is not ready but still accepts requests.
 */
class GracefulShutdownTests {

	private static final EngineOptions FEW_SLOTS = new EngineOptions(4, 0, 5.0, 0.5, 100_000.0, null, 0, 100_000, 0.0,
			null);

	private static final int STREAMS = 12;

	private static final int STREAM_TOKENS = 120;

	private static TestSite site;

	@BeforeAll
	static void launch() {
		site = TestSite.launch(TestSite.settings(2)
			.withUpstreams(List.of(new UpstreamGroup("cuptor", 1)), List.of(new UpstreamGroup("ghiseu", 1)))
			.withEngineOptions(FEW_SLOTS));
	}

	@AfterAll
	static void close() {
		site.close();
	}

	@AfterEach
	void restore() {
		site.restore();
	}

	private static List<CallerCall> startStreams() {
		List<CallerCall> streams = new ArrayList<>();
		for (int index = 0; index < STREAMS; index++) {
			streams.add(site.caller(0)
				.startChat(TestSite.CHAT, "stream " + index, STREAM_TOKENS, ChatResponseForm.STREAMED));
		}
		ConditionWaiter.await(() -> streams.stream().anyMatch((stream) -> stream.receivedTokens() > 0),
				() -> "no stream received a token");
		return streams;
	}

	private static void assertComplete(CallerCall call) {
		CallerResponse response = call.awaitResponse();
		assertThat(response.toString(), response.isComplete(), is(true));
		assertThat(response.tokens().size(), is(STREAM_TOKENS));
	}

	private static void awaitNotReady(DaemonInstance daemon) {
		ConditionWaiter.await(() -> !daemon.operatorClient().isReady(), () -> daemon.host() + " is still ready");
	}

	@Nested
	class UnderLoad {

		@Test
		void runningAndQueuedStreamsCompleteAndTheExitCodeIsZero() {
			DaemonInstance daemon = site.daemon(0);
			List<CallerCall> streams = startStreams();
			daemon.process().terminate();
			streams.forEach(GracefulShutdownTests::assertComplete);
			assertThat(daemon.process().standardError(), daemon.process().awaitExit(), is(0));
		}

		@Test
		void requestsInTheSettleTimeAreServedAndLaterOnesByOtherHosts() {
			DaemonInstance daemon = site.daemon(0);
			List<CallerCall> streams = startStreams();
			CallerResponse beforeShutdown = site.caller(0).get(TestSite.BOOKINGS + "/1");
			assertThat(beforeShutdown.status(), is(200));
			daemon.process().terminate();
			awaitNotReady(daemon);
			CallerResponse duringSettleTime = site.caller(0).get(TestSite.BOOKINGS + "/2");
			assertThat(duringSettleTime.toString(), duringSettleTime.status(), is(200));
			streams.forEach(GracefulShutdownTests::assertComplete);
			assertThat(daemon.process().standardError(), daemon.process().awaitExit(), is(0));
			assertThat(site.caller(0).get(TestSite.BOOKINGS + "/3").status(), is(0));
			assertThat(site.caller(1).get(TestSite.BOOKINGS + "/3").status(), is(200));
		}

		@Test
		void aBookingInFlightCompletesAndItsResponseIsRetained() {
			DaemonInstance daemon = site.daemon(0);
			String key = site.newIdempotencyKey();
			FaultRule holdRule = site.site()
				.services()
				.get(0)
				.proxy()
				.addRule(FaultRule.on(Direction.RESPONSE, FaultAction.HOLD).requestMatching(key).build());
			CallerCall booking = site.caller(0).startPostWithKey(TestSite.BOOKINGS, key, "{}");
			assertThat(holdRule.awaitHit(ConditionWaiter.DEFAULT_TIMEOUT), is(true));
			daemon.process().terminate();
			awaitNotReady(daemon);
			holdRule.release();
			CallerResponse first = booking.awaitResponse();
			assertThat(first.toString(), first.status(), is(200));
			assertThat(daemon.process().standardError(), daemon.process().awaitExit(), is(0));
			CallerResponse second = site.caller(1).postWithKey(TestSite.BOOKINGS, key, "{}");
			assertThat(second.toString(), second.body(), is(first.body()));
			assertThat(site.site().executionsOfKey(key), is(1L));
		}

	}

	@Nested
	class WhenTheStoreIsDown {

		@Test
		void streamsCompleteAndTheExitCodeIsZero() {
			DaemonInstance daemon = site.daemon(0);
			List<CallerCall> streams = startStreams();
			site.site().store().setFaults(new StoreFaults(Availability.REFUSING, null, null, null, null, null));
			daemon.process().terminate();
			streams.forEach(GracefulShutdownTests::assertComplete);
			assertThat(daemon.process().standardError(), daemon.process().awaitExit(), is(0));
		}

	}

}
