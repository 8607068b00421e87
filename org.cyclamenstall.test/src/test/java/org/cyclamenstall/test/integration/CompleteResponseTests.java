package org.cyclamenstall.test.integration;

import java.util.List;
import java.util.stream.IntStream;

import org.cyclamenstall.junit.TestSite;
import org.cyclamenstall.standin.caller.CallerCall;
import org.cyclamenstall.standin.caller.CallerResponse;
import org.cyclamenstall.standin.caller.ChatResponseForm;
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
 * Tests that a caller receives either the complete response to its own request or a typed
 * error. The expected text is the engine's response without daemon and proxy in between.
 */
class CompleteResponseTests {

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

	private static void setFaultsOnAllEngines(EngineFaults faults) {
		site.site().engines().forEach((upstream) -> upstream.standin().setFaults(faults));
	}

	private static void setFaultsOnFirstEngine(EngineFaults faults) {
		site.site().engines().get(0).standin().setFaults(faults);
	}

	private static String expectedText(String model, String prompt, ChatResponseForm form) {
		return site.engineCaller().chat(model, prompt, TOKENS, form).text();
	}

	private static CallerResponse chat(String model, String prompt, ChatResponseForm form) {
		return site.caller(0).chat(model, prompt, TOKENS, form);
	}

	private static FaultRule addSingleUseRule(FaultAction action, String prompt) {
		FaultRule rule = FaultRule.on(Direction.RESPONSE, action)
			.requestMatching(prompt)
			.afterBytes(2_000)
			.times(1)
			.build();
		site.site().engines().forEach((upstream) -> upstream.proxy().addRule(rule));
		return rule;
	}

	private static void assertTypedError(CallerResponse response) {
		assertThat(response.toString(), response.isComplete(), is(false));
		assertThat(response.toString(), response.errorKind(), not(""));
	}

	@Nested
	class WithoutFaults {

		@ParameterizedTest
		@EnumSource(ChatResponseForm.class)
		void eachOfManyCallersGetsItsOwnResponse(ChatResponseForm form) {
			List<CallerCall> calls = IntStream.range(0, CALLERS)
				.mapToObj((index) -> site.caller(index % 2).startChat(TestSite.CHAT, "question " + index, TOKENS, form))
				.toList();
			List<CallerCall> directCalls = IntStream.range(0, CALLERS)
				.mapToObj((index) -> site.engineCaller().startChat(TestSite.CHAT, "question " + index, TOKENS, form))
				.toList();
			for (int index = 0; index < CALLERS; index++) {
				CallerResponse response = calls.get(index).awaitResponse();
				assertThat(response.toString(), response.isComplete(), is(true));
				assertThat(response.text(), is(directCalls.get(index).awaitResponse().text()));
			}
		}

	}

	@Nested
	class WhenAResponseBelongsToAnotherAttempt {

		@ParameterizedTest
		@EnumSource(ChatResponseForm.class)
		void itIsNotRelayedAndTheRetrySucceeds(ChatResponseForm form) {
			String expected = expectedText(TestSite.CHAT, "crossed", form);
			setFaultsOnFirstEngine(new EngineFaults(null, null, null, null, null, null, null, 1, null, null, null));
			for (int request = 0; request < 4; request++) {
				CallerResponse response = chat(TestSite.CHAT, "crossed", form);
				assertThat(response.toString(), response.text(), is(expected));
			}
		}

		@ParameterizedTest
		@EnumSource(ChatResponseForm.class)
		void aMismatchAtEveryEngineEndsInATypedError(ChatResponseForm form) {
			setFaultsOnAllEngines(new EngineFaults(null, null, null, null, null, null, null, 1_000, null, null, null));
			CallerResponse response = chat(TestSite.CHAT, "crossed always", form);
			assertTypedError(response);
		}

	}

	@Nested
	class WhenAResponseIsMalformed {

		@ParameterizedTest
		@EnumSource(ChatResponseForm.class)
		void itEndsInATypedErrorOrTheRetrySucceeds(ChatResponseForm form) {
			String expected = expectedText(TestSite.CHAT, "malformed", form);
			setFaultsOnAllEngines(new EngineFaults(null, null, null, null, null, null, null, null, 1, null, null));
			CallerResponse response = chat(TestSite.CHAT, "malformed", form);
			if (response.isComplete()) {
				assertThat(response.text(), is(expected));
			}
			else {
				assertTypedError(response);
			}
		}

	}

	@Nested
	class WhenAResponseIsOversized {

		@ParameterizedTest
		@EnumSource(ChatResponseForm.class)
		void itEndsInATypedErrorOrTheRetrySucceeds(ChatResponseForm form) {
			String expected = expectedText(TestSite.CHAT, "oversized", form);
			setFaultsOnAllEngines(new EngineFaults(null, null, null, null, null, null, null, null, null, 1, null));
			CallerResponse response = chat(TestSite.CHAT, "oversized", form);
			if (response.isComplete()) {
				assertThat(response.text(), is(expected));
			}
			else {
				assertTypedError(response);
			}
		}

	}

	@Nested
	class WhenAResponseIsSentTwice {

		@ParameterizedTest
		@EnumSource(ChatResponseForm.class)
		void laterCallersStillGetTheirOwnResponse(ChatResponseForm form) {
			setFaultsOnAllEngines(new EngineFaults(null, null, null, null, null, null, null, null, null, null, 2));
			for (int request = 0; request < 6; request++) {
				String prompt = "duplicate " + request;
				CallerResponse response = chat(TestSite.CHAT, prompt, form);
				assertThat(response.toString(), response.text(), is(expectedText(TestSite.CHAT, prompt, form)));
			}
		}

	}

	@Nested
	class WhenAStreamIsInterrupted {

		@Test
		void itIsResumedWithTheSameTokens() {
			String expected = expectedText(TestSite.CHAT, "cut", ChatResponseForm.STREAMED);
			FaultRule resetRule = addSingleUseRule(FaultAction.RESET, "cut");
			CallerResponse response = chat(TestSite.CHAT, "cut", ChatResponseForm.STREAMED);
			assertThat(resetRule.hits(), is(1));
			assertThat(response.toString(), response.isComplete(), is(true));
			assertThat(response.text(), is(expected));
		}

		@Test
		void aStreamThatCannotBeResumedEndsInATypedError() {
			String expected = expectedText(TestSite.NON_RESUMABLE_CHAT, "cut fixed", ChatResponseForm.STREAMED);
			setFaultsOnAllEngines(new EngineFaults(null, null, null, null, null, 1, 10, null, null, null, null));
			CallerResponse response = chat(TestSite.NON_RESUMABLE_CHAT, "cut fixed", ChatResponseForm.STREAMED);
			assertTypedError(response);
			assertThat(response.failure().isPresent(), is(true));
			assertThat(expected, startsWith(response.text()));
		}

		@Test
		void anOrderlyCloseBeforeTheEndMarkerEndsInATypedError() {
			String expected = expectedText(TestSite.NON_RESUMABLE_CHAT, "closed", ChatResponseForm.STREAMED);
			FaultRule closeRule = addSingleUseRule(FaultAction.CLOSE, "closed");
			CallerResponse response = chat(TestSite.NON_RESUMABLE_CHAT, "closed", ChatResponseForm.STREAMED);
			assertThat(closeRule.hits(), is(1));
			assertTypedError(response);
			assertThat(expected, startsWith(response.text()));
		}

		@Test
		void aStreamOfAnUnresponsiveUpstreamIsResumed() {
			String expected = expectedText(TestSite.CHAT, "silent", ChatResponseForm.STREAMED);
			FaultRule holdRule = addSingleUseRule(FaultAction.HOLD, "silent");
			CallerResponse response = chat(TestSite.CHAT, "silent", ChatResponseForm.STREAMED);
			assertThat(holdRule.hits(), is(1));
			assertThat(response.toString(), response.isComplete(), is(true));
			assertThat(response.text(), is(expected));
		}

	}

	@Nested
	class WhenTheCallerDisconnects {

		@Test
		void itsUpstreamRequestIsCancelled() {
			long before = cancelledRequests();
			CallerCall call = site.caller(0).startChat(TestSite.CHAT, "vanishing", 4_000, ChatResponseForm.STREAMED);
			assertThat(call.awaitTokens(5), is(true));
			call.disconnect();
			ConditionWaiter.await(() -> cancelledRequests() > before, () -> "no engine cancelled the request");
			assertThat(cancelledRequests(), greaterThan(before));
		}

		private long cancelledRequests() {
			return site.site()
				.engines()
				.stream()
				.mapToLong((upstream) -> upstream.standin().counts().get("cancelled"))
				.sum();
		}

	}

}
