package org.cyclamenstall.test.integration;

import java.util.List;
import java.util.stream.IntStream;

import org.cyclamenstall.junit.TestSite;
import org.cyclamenstall.standin.caller.CallerAnswer;
import org.cyclamenstall.standin.caller.CallerCall;
import org.cyclamenstall.standin.caller.ChatForm;
import org.cyclamenstall.standin.engine.EngineFaults;
import org.cyclamenstall.standin.faultproxy.Direction;
import org.cyclamenstall.standin.faultproxy.FaultAction;
import org.cyclamenstall.standin.faultproxy.FaultRule;
import org.cyclamenstall.standin.site.ConditionWaiter;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

/**
 * Tests that a caller gets the whole answer to its own request, or is told that it does
 * not. The reference is what the engine answers without daemon and proxy.
 */
class WholeAnswerTests {

	private static final int TOKENS = 40;

	private static final int CALLERS = 40;

	private static TestSite site;

	@BeforeAll
	static void launch() {
		site = TestSite.launch(TestSite.settings(2));
	}

	@AfterAll
	static void close() {
		site.close();
	}

	@BeforeEach
	void fillRetryBudget() {
		site.fillRetryBudget(0);
	}

	@AfterEach
	void restore() {
		site.restore();
	}

	private static void everyEngine(EngineFaults faults) {
		site.site().engines().forEach((upstream) -> upstream.standin().setFaults(faults));
	}

	private static void firstEngine(EngineFaults faults) {
		site.site().engines().get(0).standin().setFaults(faults);
	}

	private static String reference(String model, String text, ChatForm form) {
		return site.engineCaller().chat(model, text, TOKENS, form).text();
	}

	private static CallerAnswer chat(String model, String text, ChatForm form) {
		return site.caller(0).chat(model, text, TOKENS, form);
	}

	private static FaultRule once(FaultAction action, String text) {
		FaultRule rule = FaultRule.on(Direction.ANSWER, action).matching(text).afterBytes(2_000).times(1).build();
		site.site().engines().forEach((upstream) -> upstream.proxy().add(rule));
		return rule;
	}

	private static void assertNotTakenForWhole(CallerAnswer answer) {
		assertThat(answer.toString(), answer.looksWhole(), is(false));
		assertThat(answer.toString(), answer.errorKind(), not(""));
	}

	@Nested
	class WithoutFaults {

		@ParameterizedTest
		@EnumSource(ChatForm.class)
		void everyOneOfManyCallersGetsItsOwnAnswer(ChatForm form) {
			List<CallerCall> calls = IntStream.range(0, CALLERS)
				.mapToObj((index) -> site.caller(index % 2).startChat(TestSite.CHAT, "question " + index, TOKENS, form))
				.toList();
			List<CallerCall> references = IntStream.range(0, CALLERS)
				.mapToObj((index) -> site.engineCaller().startChat(TestSite.CHAT, "question " + index, TOKENS, form))
				.toList();
			for (int index = 0; index < CALLERS; index++) {
				CallerAnswer answer = calls.get(index).answer();
				assertThat(answer.toString(), answer.looksWhole(), is(true));
				assertThat(answer.text(), is(references.get(index).answer().text()));
			}
		}

	}

	@Nested
	class WhenAnAnswerBelongsToAnotherAttempt {

		@ParameterizedTest
		@EnumSource(ChatForm.class)
		void itIsNotRelayedAndTheRetryIsRight(ChatForm form) {
			String expected = reference(TestSite.CHAT, "crossed", form);
			firstEngine(new EngineFaults(null, null, null, null, null, null, null, 1, null, null, null));
			for (int request = 0; request < 4; request++) {
				CallerAnswer answer = chat(TestSite.CHAT, "crossed", form);
				assertThat(answer.toString(), answer.text(), is(expected));
			}
		}

		@ParameterizedTest
		@EnumSource(ChatForm.class)
		void fromEveryEngineItEndsInATypedError(ChatForm form) {
			everyEngine(new EngineFaults(null, null, null, null, null, null, null, 1_000, null, null, null));
			CallerAnswer answer = chat(TestSite.CHAT, "crossed always", form);
			assertNotTakenForWhole(answer);
		}

	}

	@Nested
	class WhenAnAnswerIsMalformed {

		@ParameterizedTest
		@EnumSource(ChatForm.class)
		void itEndsInATypedErrorOrIsRightAfterARetry(ChatForm form) {
			String expected = reference(TestSite.CHAT, "malformed", form);
			everyEngine(new EngineFaults(null, null, null, null, null, null, null, null, 1, null, null));
			CallerAnswer answer = chat(TestSite.CHAT, "malformed", form);
			if (answer.looksWhole()) {
				assertThat(answer.text(), is(expected));
			}
			else {
				assertNotTakenForWhole(answer);
			}
		}

	}

	@Nested
	class WhenAnAnswerIsOversized {

		@ParameterizedTest
		@EnumSource(ChatForm.class)
		void itEndsInATypedErrorOrIsRightAfterARetry(ChatForm form) {
			String expected = reference(TestSite.CHAT, "oversized", form);
			everyEngine(new EngineFaults(null, null, null, null, null, null, null, null, null, 1, null));
			CallerAnswer answer = chat(TestSite.CHAT, "oversized", form);
			if (answer.looksWhole()) {
				assertThat(answer.text(), is(expected));
			}
			else {
				assertNotTakenForWhole(answer);
			}
		}

	}

	@Nested
	class WhenAnAnswerIsSentTwice {

		@ParameterizedTest
		@EnumSource(ChatForm.class)
		void laterCallersStillGetTheirOwn(ChatForm form) {
			everyEngine(new EngineFaults(null, null, null, null, null, null, null, null, null, null, 2));
			for (int request = 0; request < 6; request++) {
				String text = "duplicate " + request;
				CallerAnswer answer = chat(TestSite.CHAT, text, form);
				assertThat(answer.toString(), answer.text(), is(reference(TestSite.CHAT, text, form)));
			}
		}

	}

	@Nested
	class WhenAStreamIsCut {

		@Test
		void itIsResumedWithTheSameTokens() {
			String expected = reference(TestSite.CHAT, "cut", ChatForm.STREAMED);
			FaultRule reset = once(FaultAction.RESET, "cut");
			CallerAnswer answer = chat(TestSite.CHAT, "cut", ChatForm.STREAMED);
			assertThat(reset.hits(), is(1));
			assertThat(answer.toString(), answer.looksWhole(), is(true));
			assertThat(answer.text(), is(expected));
		}

		@Test
		void whereItCannotBeResumedItEndsInATypedError() {
			String expected = reference(TestSite.FIXED_CHAT, "cut fixed", ChatForm.STREAMED);
			everyEngine(new EngineFaults(null, null, null, null, null, 1, 10, null, null, null, null));
			CallerAnswer answer = chat(TestSite.FIXED_CHAT, "cut fixed", ChatForm.STREAMED);
			assertNotTakenForWhole(answer);
			assertThat(answer.failure().isPresent(), is(true));
			assertThat(expected, startsWith(answer.text()));
		}

		@Test
		void byAnOrderlyCloseItIsNotTakenForWholeEither() {
			String expected = reference(TestSite.FIXED_CHAT, "closed", ChatForm.STREAMED);
			FaultRule closed = once(FaultAction.CLOSE, "closed");
			CallerAnswer answer = chat(TestSite.FIXED_CHAT, "closed", ChatForm.STREAMED);
			assertThat(closed.hits(), is(1));
			assertNotTakenForWhole(answer);
			assertThat(expected, startsWith(answer.text()));
		}

		@Test
		void aSilentUpstreamIsGivenUpAndTheStreamResumed() {
			String expected = reference(TestSite.CHAT, "silent", ChatForm.STREAMED);
			FaultRule silent = once(FaultAction.HOLD, "silent");
			CallerAnswer answer = chat(TestSite.CHAT, "silent", ChatForm.STREAMED);
			assertThat(silent.hits(), is(1));
			assertThat(answer.toString(), answer.looksWhole(), is(true));
			assertThat(answer.text(), is(expected));
		}

	}

	@Nested
	class WhenTheCallerVanishes {

		@Test
		void itsUpstreamWorkIsCancelled() {
			long before = cancelled();
			CallerCall call = site.caller(0).startChat(TestSite.CHAT, "vanishing", 4_000, ChatForm.STREAMED);
			assertThat(call.awaitTokens(5), is(true));
			call.vanish();
			ConditionWaiter.await(() -> cancelled() > before, () -> "no engine cancelled");
			assertThat(cancelled(), greaterThan(before));
		}

		private long cancelled() {
			return site.site()
				.engines()
				.stream()
				.mapToLong((upstream) -> upstream.standin().counts().get("cancelled"))
				.sum();
		}

	}

}
