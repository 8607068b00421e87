package org.cyclamenstall.test.integration;

import java.util.ArrayList;
import java.util.List;

import org.cyclamenstall.junit.TestSite;
import org.cyclamenstall.standin.caller.CallerAnswer;
import org.cyclamenstall.standin.caller.CallerCall;
import org.cyclamenstall.standin.caller.ChatForm;
import org.cyclamenstall.standin.engine.EngineFaults;
import org.cyclamenstall.standin.engine.EngineStandin;
import org.cyclamenstall.standin.http.Availability;
import org.cyclamenstall.standin.platform.HostListFaults;
import org.cyclamenstall.standin.platform.ListedService;
import org.cyclamenstall.standin.platform.StoreFaults;
import org.cyclamenstall.standin.service.ServiceFaults;
import org.cyclamenstall.standin.service.ServiceStandin;
import org.cyclamenstall.standin.site.Upstream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests that an upstream that leaves gets no new work and ends what it has.
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

	private static Upstream<EngineStandin> leavingEngine() {
		return site.site().engines().get(0);
	}

	private static long received(Upstream<EngineStandin> engine) {
		return engine.standin().counts().get("received");
	}

	private static List<CallerAnswer> sendChats() {
		List<CallerCall> calls = new ArrayList<>();
		for (int request = 0; request < REQUESTS; request++) {
			calls.add(site.caller(request % DAEMONS).startChat(TestSite.CHAT, "chat " + request, 3, ChatForm.WHOLE));
		}
		return calls.stream().map(CallerCall::answer).toList();
	}

	private static void assertAllWhole(List<CallerAnswer> answers) {
		answers.forEach((answer) -> assertThat(answer.toString(), answer.looksWhole(), is(true)));
	}

	private static void assertMarkIsMetAtMostOnceByEach() {
		leavingEngine().standin()
			.setFaults(new EngineFaults(null, null, null, null, true, null, null, null, null, null, null));
		long before = received(leavingEngine());
		for (int request = 0; request < 2 * REQUESTS; request++) {
			CallerAnswer answer = site.caller(request % DAEMONS)
				.chat(TestSite.FIXED_CHAT, "chat " + request, 3, ChatForm.WHOLE);
			assertThat(answer.toString(), answer.looksWhole(), is(true));
		}
		assertThat(received(leavingEngine()) - before, lessThanOrEqualTo((long) DAEMONS));
	}

	@Nested
	class WhenTheListPublishesIt {

		@Test
		void itGetsNoNewWorkAndEndsItsStreams() {
			List<CallerCall> streams = new ArrayList<>();
			for (int index = 0; index < 8; index++) {
				streams.add(site.caller(index % DAEMONS)
					.startChat(TestSite.CHAT, "stream " + index, 200, ChatForm.STREAMED));
			}
			streams.forEach((stream) -> stream.awaitTokens(1));
			site.site().publish(leavingEngine(), ListedService.LEAVING);
			site.awaitUpstreamState("cuptor", leavingEngine().standin().name(), "leaving");
			long before = received(leavingEngine());
			assertAllWhole(sendChats());
			assertThat(received(leavingEngine()), is(before));
			assertAllWhole(streams.stream().map(CallerCall::answer).toList());
		}

		@Test
		void theStateStandsWhileStoreAndListAreDown() {
			site.site().publish(leavingEngine(), ListedService.LEAVING);
			site.awaitUpstreamState("cuptor", leavingEngine().standin().name(), "leaving");
			site.site().hostList().setFaults(new HostListFaults(Availability.REFUSING, null, null));
			site.site().store().setFaults(new StoreFaults(Availability.REFUSING, null, null, null, null, null));
			long before = received(leavingEngine());
			assertAllWhole(sendChats());
			assertThat(received(leavingEngine()), is(before));
		}

	}

	@Nested
	class WhenTheListStillNamesItLive {

		@Test
		void eachDaemonMeetsTheUpstreamsOwnMarkAtMostOnce() {
			assertMarkIsMetAtMostOnceByEach();
		}

	}

	@Nested
	class WhenTheListIsDown {

		@Test
		void eachDaemonMeetsTheUpstreamsOwnMarkAtMostOnce() {
			site.site().hostList().setFaults(new HostListFaults(Availability.REFUSING, null, null));
			assertMarkIsMetAtMostOnceByEach();
		}

		@Test
		void theMarkOfAPlainServiceEndsNewWork() {
			site.site().hostList().setFaults(new HostListFaults(Availability.REFUSING, null, null));
			ServiceStandin service = site.site().services().get(0).standin();
			service.setFaults(new ServiceFaults(null, null, null, null, null, null, null, null, true));
			long before = service.counts().get("received");
			lookUps();
			assertThat(service.counts().get("received") - before, lessThanOrEqualTo((long) DAEMONS));
		}

		@Test
		void aRefusedConnectionEndsNewWork() {
			site.site().hostList().setFaults(new HostListFaults(Availability.REFUSING, null, null));
			long before = received(leavingEngine());
			leavingEngine().proxy().refuse();
			for (CallerAnswer answer : sendChats()) {
				assertThat(answer.toString(), answer.looksWhole() || answer.outcome().equals("not-run"), is(true));
			}
			assertAllWhole(sendChats());
			assertThat(received(leavingEngine()), is(before));
		}

		private void lookUps() {
			for (int request = 0; request < REQUESTS; request++) {
				CallerAnswer answer = site.caller(request % DAEMONS).lookUp(TestSite.BOOKINGS + "/" + request);
				assertThat(answer.toString(), answer.status(), is(200));
			}
		}

	}

}
