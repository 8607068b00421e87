package org.cyclamenstall.test.integration;

import java.util.List;

import org.cyclamenstall.junit.TestSite;
import org.cyclamenstall.standin.caller.CallerCall;
import org.cyclamenstall.standin.caller.ChatResponseForm;
import org.cyclamenstall.standin.engine.EngineFaults;
import org.cyclamenstall.standin.http.Availability;
import org.cyclamenstall.standin.platform.HostListFaults;
import org.cyclamenstall.standin.platform.StoreFaults;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Tests that under overload no request of the highest tier is shed or preempted in favour
 * of a lower tier. Checks the daemon's decision log after each test.
 */
class TierPrecedenceTests {

	private static final int BURST_REQUESTS = 24;

	private static final int TOKENS = 10;

	private static OverloadSite site;

	@BeforeAll
	static void launch() {
		site = new OverloadSite();
	}

	@AfterAll
	static void close() {
		site.close();
	}

	@AfterEach
	void checkDecisionsAndRestore() {
		site.checkDecisionsAndRestore();
	}

	@Nested
	class WhenLowerTiersFillTheSite {

		@Test
		void everyChatIsServedAndTheLowestTierIsShedFirst() {
			List<CallerCall> digests = site.startChats(TestSite.DIGEST, BURST_REQUESTS, 10 * TOKENS);
			List<CallerCall> summaries = site.startChats(TestSite.SUMMARY, BURST_REQUESTS, 10 * TOKENS);
			List<CallerCall> chats = site.startChats(TestSite.CHAT, OverloadSite.QUEUE_LENGTH / 2, TOKENS);
			OverloadSite.assertAllComplete(OverloadSite.awaitResponses(chats));
			OverloadSite.assertCompleteOrNotRun(OverloadSite.awaitResponses(digests));
			OverloadSite.assertCompleteOrNotRun(OverloadSite.awaitResponses(summaries));
		}

	}

	@Nested
	class WhenUpstreamsSlowDownAndThePlatformIsDown {

		@Test
		void everyChatIsServed() {
			site.site().site().engines().get(0).standin().setFaults(EngineFaults.slow(5, 100));
			site.site().site().store().setFaults(new StoreFaults(Availability.REFUSING, null, null, null, null, null));
			site.site().site().hostList().setFaults(new HostListFaults(Availability.REFUSING, null, null));
			List<CallerCall> digests = site.startChats(TestSite.DIGEST, BURST_REQUESTS, 5 * TOKENS);
			List<CallerCall> chats = site.startChats(TestSite.CHAT, OverloadSite.QUEUE_LENGTH / 2, TOKENS);
			OverloadSite.assertAllComplete(OverloadSite.awaitResponses(chats));
			OverloadSite.assertCompleteOrNotRun(OverloadSite.awaitResponses(digests));
		}

	}

	@Nested
	class WhenADigestRunsAndAChatNeedsItsSlot {

		@Test
		void thePreemptedDigestIsResumedAndCompletes() {
			String expected = site.site()
				.engineCaller()
				.chat(TestSite.DIGEST, TestSite.DIGEST + " 0", 20 * TOKENS, ChatResponseForm.STREAMED)
				.text();
			List<CallerCall> digests = site.startChats(TestSite.DIGEST, 4, 20 * TOKENS);
			digests.get(0).awaitTokens(1);
			OverloadSite.assertAllComplete(
					OverloadSite.awaitResponses(site.startChats(TestSite.CHAT, OverloadSite.QUEUE_LENGTH / 2, TOKENS)));
			OverloadSite.assertAllComplete(OverloadSite.awaitResponses(digests));
			assertThat(digests.get(0).awaitResponse().text(), is(expected));
			assertThat(site.site()
				.site()
				.engines()
				.stream()
				.mapToLong((upstream) -> upstream.standin().counts().get("completed"))
				.sum(), greaterThan(0L));
		}

	}

}
