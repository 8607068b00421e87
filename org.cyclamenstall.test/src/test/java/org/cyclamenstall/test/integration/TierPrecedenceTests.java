package org.cyclamenstall.test.integration;

import java.util.ArrayList;
import java.util.List;

import org.cyclamenstall.junit.LoggedDecision;
import org.cyclamenstall.junit.TestSite;
import org.cyclamenstall.settings.PolicySettings;
import org.cyclamenstall.standin.caller.CallerAnswer;
import org.cyclamenstall.standin.caller.CallerCall;
import org.cyclamenstall.standin.caller.ChatForm;
import org.cyclamenstall.standin.engine.EngineFaults;
import org.cyclamenstall.standin.engine.EngineOptions;
import org.cyclamenstall.standin.http.Availability;
import org.cyclamenstall.standin.platform.HostListFaults;
import org.cyclamenstall.standin.platform.StoreFaults;
import org.cyclamenstall.standin.site.UpstreamGroup;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Tests that under overload no request of the highest tier is shed or preempted for a
 * lower one, and that lower tiers are served in the end. The daemons' log of decisions is
 * checked after each test.
 */
class TierPrecedenceTests {

	private static final int QUEUE_LENGTH = 20;

	private static final int BURST = 30;

	private static final int TOKENS = 20;

	private static final EngineOptions SMALL_ENGINE = new EngineOptions(2, 0, 5.0, 0.5, 100_000.0, null, 0, 100_000,
			0.0, null);

	private static final PolicySettings SHORT_QUEUES = new PolicySettings(null, null, null, null, null, null, 2, null,
			null, QUEUE_LENGTH, 1_000, 10_000, 10_000);

	private static TestSite site;

	@BeforeAll
	static void launch() {
		site = TestSite.launch(TestSite.settings(1)
			.withUpstreams(List.of(new UpstreamGroup("cuptor", 2)), List.of(new UpstreamGroup("ghiseu", 1)))
			.withEngineOptions(SMALL_ENGINE)
			.withPolicy(SHORT_QUEUES)
			.withLogLevel("debug"));
	}

	@AfterAll
	static void close() {
		site.close();
	}

	@AfterEach
	void checkDecisionsAndRestore() {
		List<LoggedDecision> decisions = LoggedDecision.read(site.daemon(0).process().errors());
		assertThat(decisions, not(empty()));
		assertThat(decisions.stream().filter(LoggedDecision::breaksTierOrder).toList(), empty());
		site.restore();
	}

	private static List<CallerCall> start(String model, int count, int tokens) {
		List<CallerCall> calls = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			calls.add(site.caller(0).startChat(model, model + " " + index, tokens, ChatForm.STREAMED));
		}
		return calls;
	}

	private static List<CallerAnswer> answers(List<CallerCall> calls) {
		return calls.stream().map(CallerCall::answer).toList();
	}

	private static void assertAllWhole(List<CallerAnswer> answers) {
		answers.forEach((answer) -> assertThat(answer.toString(), answer.looksWhole(), is(true)));
	}

	private static void assertWholeOrTypedNotRun(List<CallerAnswer> answers) {
		answers.forEach((answer) -> assertThat(answer.toString(),
				answer.looksWhole() || answer.outcome().equals("not-run"), is(true)));
	}

	@Nested
	class WhenLowerTiersFillTheSite {

		@Test
		void everyChatIsServedAndTheLowestTierIsShedFirst() {
			List<CallerCall> digests = start(TestSite.DIGEST, BURST, 10 * TOKENS);
			List<CallerCall> summaries = start(TestSite.SUMMARY, BURST, 10 * TOKENS);
			List<CallerCall> chats = start(TestSite.CHAT, QUEUE_LENGTH / 2, TOKENS);
			assertAllWhole(answers(chats));
			assertWholeOrTypedNotRun(answers(digests));
			assertWholeOrTypedNotRun(answers(summaries));
		}

	}

	@Nested
	class WhenChatsKeepTheSiteBusy {

		@Test
		void everyAdmittedDigestIsServed() {
			List<CallerCall> chats = new ArrayList<>(start(TestSite.CHAT, QUEUE_LENGTH, TOKENS));
			List<CallerCall> digests = start(TestSite.DIGEST, 4, TOKENS);
			while (digests.stream().anyMatch((digest) -> !digest.isDone())) {
				chats.add(site.caller(0).startChat(TestSite.CHAT, "more", TOKENS, ChatForm.STREAMED));
				chats.get(chats.size() - QUEUE_LENGTH).answer();
			}
			assertAllWhole(answers(digests));
			assertWholeOrTypedNotRun(answers(chats));
		}

	}

	@Nested
	class WhenUpstreamsSlowDownAndThePlatformIsDown {

		@Test
		void everyChatIsServed() {
			site.site().engines().get(0).standin().setFaults(EngineFaults.slow(5, 100));
			site.site().store().setFaults(new StoreFaults(Availability.REFUSING, null, null, null, null, null));
			site.site().hostList().setFaults(new HostListFaults(Availability.REFUSING, null, null));
			List<CallerCall> digests = start(TestSite.DIGEST, BURST, 5 * TOKENS);
			List<CallerCall> chats = start(TestSite.CHAT, QUEUE_LENGTH / 2, TOKENS);
			assertAllWhole(answers(chats));
			assertWholeOrTypedNotRun(answers(digests));
		}

	}

	@Nested
	class WhenADigestRunsAndAChatNeedsItsSlot {

		@Test
		void thePreemptedDigestIsResumedAndWhole() {
			String expected = site.engineCaller()
				.chat(TestSite.DIGEST, TestSite.DIGEST + " 0", 20 * TOKENS, ChatForm.STREAMED)
				.text();
			List<CallerCall> digests = start(TestSite.DIGEST, 4, 20 * TOKENS);
			digests.get(0).awaitTokens(1);
			assertAllWhole(answers(start(TestSite.CHAT, QUEUE_LENGTH / 2, TOKENS)));
			assertAllWhole(answers(digests));
			assertThat(digests.get(0).answer().text(), is(expected));
			assertThat(site.site()
				.engines()
				.stream()
				.mapToLong((upstream) -> upstream.standin().counts().get("completed"))
				.sum(), greaterThan(0L));
		}

	}

}
