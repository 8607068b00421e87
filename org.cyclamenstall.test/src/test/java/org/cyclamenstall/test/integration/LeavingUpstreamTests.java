package org.cyclamenstall.test.integration;

import java.util.ArrayList;
import java.util.List;

import org.cyclamenstall.junit.TestSite;
import org.cyclamenstall.standin.caller.CallerCall;
import org.cyclamenstall.standin.caller.CallerResponse;
import org.cyclamenstall.standin.caller.ChatResponseForm;
import org.cyclamenstall.standin.engine.EngineFaults;
import org.cyclamenstall.standin.engine.EngineStandin;
import org.cyclamenstall.standin.http.Availability;
import org.cyclamenstall.standin.platform.HostListFaults;
import org.cyclamenstall.standin.platform.ListedService;
import org.cyclamenstall.standin.platform.StoreFaults;
import org.cyclamenstall.standin.service.ServiceFaults;
import org.cyclamenstall.standin.service.ServiceStandin;
import org.cyclamenstall.standin.site.UpstreamInstance;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests that an upstream that the host list reports as leaving receives no new requests
 * and completes those in progress, and that an upstream that reports itself as draining,
 * by a response header, receives at most one more request from each daemon.
 */
class LeavingUpstreamTests {

	private static final int DAEMONS = 2;

	private static final int REQUESTS = 24;

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

	private static UpstreamInstance<EngineStandin> affectedEngine() {
		return site.site().engines().get(0);
	}

	private static long receivedRequests(UpstreamInstance<EngineStandin> engine) {
		return engine.standin().counts().get("received");
	}

	private static List<CallerResponse> sendChats() {
		List<CallerCall> calls = new ArrayList<>();
		for (int request = 0; request < REQUESTS; request++) {
			calls.add(site.caller(request % DAEMONS)
				.startChat(TestSite.CHAT, "chat " + request, 3, ChatResponseForm.NON_STREAMED));
		}
		return calls.stream().map(CallerCall::awaitResponse).toList();
	}

	private static void assertAllComplete(List<CallerResponse> responses) {
		responses.forEach((response) -> assertThat(response.toString(), response.isComplete(), is(true)));
	}

	private static void drainEngineAndAssertEachDaemonSendsAtMostOneRequest() {
		affectedEngine().standin()
			.setFaults(new EngineFaults(null, null, null, null, true, null, null, null, null, null, null));
		long receivedBefore = receivedRequests(affectedEngine());
		for (int request = 0; request < 2 * REQUESTS; request++) {
			CallerResponse response = site.caller(request % DAEMONS)
				.chat(TestSite.NON_RESUMABLE_CHAT, "chat " + request, 3, ChatResponseForm.NON_STREAMED);
			assertThat(response.toString(), response.isComplete(), is(true));
		}
		assertThat(receivedRequests(affectedEngine()) - receivedBefore, lessThanOrEqualTo((long) DAEMONS));
	}

	@Nested
	class WhenTheHostListReportsIt {

		@Test
		void itReceivesNoNewRequestsAndItsStreamsComplete() {
			List<CallerCall> streams = new ArrayList<>();
			for (int index = 0; index < 8; index++) {
				streams.add(site.caller(index % DAEMONS)
					.startChat(TestSite.CHAT, "stream " + index, 200, ChatResponseForm.STREAMED));
			}
			streams.forEach((stream) -> stream.awaitTokens(1));
			site.site().setUpstreamState(affectedEngine(), ListedService.LEAVING);
			site.awaitUpstreamState("cuptor", affectedEngine().standin().name(), "leaving");
			long receivedBefore = receivedRequests(affectedEngine());
			assertAllComplete(sendChats());
			assertThat(receivedRequests(affectedEngine()), is(receivedBefore));
			assertAllComplete(streams.stream().map(CallerCall::awaitResponse).toList());
		}

		@Test
		void theStateIsKeptWhileStoreAndHostListAreDown() {
			site.site().setUpstreamState(affectedEngine(), ListedService.LEAVING);
			site.awaitUpstreamState("cuptor", affectedEngine().standin().name(), "leaving");
			site.site().hostList().setFaults(new HostListFaults(Availability.REFUSING, null, null));
			site.site().store().setFaults(new StoreFaults(Availability.REFUSING, null, null, null, null, null));
			long receivedBefore = receivedRequests(affectedEngine());
			assertAllComplete(sendChats());
			assertThat(receivedRequests(affectedEngine()), is(receivedBefore));
		}

	}

	@Nested
	class WhenTheHostListStillReportsItAsLive {

		@Test
		void eachDaemonSendsAtMostOneRequestToADrainingEngine() {
			drainEngineAndAssertEachDaemonSendsAtMostOneRequest();
		}

	}

	@Nested
	class WhenTheHostListIsDown {

		@Test
		void eachDaemonSendsAtMostOneRequestToADrainingEngine() {
			site.site().hostList().setFaults(new HostListFaults(Availability.REFUSING, null, null));
			drainEngineAndAssertEachDaemonSendsAtMostOneRequest();
		}

		@Test
		void eachDaemonSendsAtMostOneRequestToADrainingPlainService() {
			site.site().hostList().setFaults(new HostListFaults(Availability.REFUSING, null, null));
			ServiceStandin service = site.site().services().get(0).standin();
			service.setFaults(new ServiceFaults(null, null, null, null, null, null, null, null, true));
			long receivedBefore = service.counts().get("received");
			sendGetRequests();
			assertThat(service.counts().get("received") - receivedBefore, lessThanOrEqualTo((long) DAEMONS));
		}

		@Test
		void anUpstreamThatRefusesConnectionsReceivesNoNewRequests() {
			site.site().hostList().setFaults(new HostListFaults(Availability.REFUSING, null, null));
			long receivedBefore = receivedRequests(affectedEngine());
			affectedEngine().proxy().refuseUntilRestored();
			for (CallerResponse response : sendChats()) {
				assertThat(response.toString(), response.isComplete() || response.outcome().equals("not-run"),
						is(true));
			}
			assertAllComplete(sendChats());
			assertThat(receivedRequests(affectedEngine()), is(receivedBefore));
		}

		private void sendGetRequests() {
			for (int request = 0; request < REQUESTS; request++) {
				CallerResponse response = site.caller(request % DAEMONS).get(TestSite.BOOKINGS + "/" + request);
				assertThat(response.toString(), response.status(), is(200));
			}
		}

	}

}
