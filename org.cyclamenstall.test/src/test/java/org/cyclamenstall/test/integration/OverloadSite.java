package org.cyclamenstall.test.integration;

import java.util.ArrayList;
import java.util.List;

import org.cyclamenstall.junit.LoggedDecision;
import org.cyclamenstall.junit.TestSite;
import org.cyclamenstall.settings.PolicySettings;
import org.cyclamenstall.standin.caller.CallerCall;
import org.cyclamenstall.standin.caller.CallerResponse;
import org.cyclamenstall.standin.caller.ChatResponseForm;
import org.cyclamenstall.standin.engine.EngineOptions;
import org.cyclamenstall.standin.site.UpstreamGroup;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Site with one daemon and two engines with two slots each, so that a few requests
 * overload it. Logs the daemon's decisions and checks that they follow the precedence of
 * tiers.
 */
final class OverloadSite implements AutoCloseable {

	/** Maximum number of queued requests in each tier. */
	static final int QUEUE_LENGTH = 20;

	private static final EngineOptions SMALL_ENGINE = new EngineOptions(2, 0, 5.0, 0.5, 100_000.0, null, 0, 100_000,
			0.0, null);

	private static final PolicySettings SHORT_QUEUES = new PolicySettings(null, null, null, null, null, null, 2, null,
			null, QUEUE_LENGTH, 1_000, 10_000, 10_000);

	private final TestSite site = TestSite.launch(TestSite.settings(1)
		.withUpstreams(List.of(new UpstreamGroup("cuptor", 2)), List.of(new UpstreamGroup("ghiseu", 1)))
		.withEngineOptions(SMALL_ENGINE)
		.withPolicy(SHORT_QUEUES)
		.withLogLevel("debug"));

	TestSite site() {
		return this.site;
	}

	List<CallerCall> startChats(String model, int count, int tokens) {
		List<CallerCall> calls = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			calls.add(this.site.caller(0).startChat(model, model + " " + index, tokens, ChatResponseForm.STREAMED));
		}
		return calls;
	}

	void checkDecisionsAndRestore() {
		List<LoggedDecision> decisions = LoggedDecision.read(this.site.daemon(0).process().standardError());
		assertThat(decisions, not(empty()));
		assertThat(decisions.stream().filter(LoggedDecision::violatesTierPrecedence).toList(), empty());
		this.site.restore();
	}

	@Override
	public void close() {
		this.site.close();
	}

	static List<CallerResponse> awaitResponses(List<CallerCall> calls) {
		return calls.stream().map(CallerCall::awaitResponse).toList();
	}

	static void assertAllComplete(List<CallerResponse> responses) {
		responses.forEach((response) -> assertThat(response.toString(), response.isComplete(), is(true)));
	}

	static void assertCompleteOrNotRun(List<CallerResponse> responses) {
		responses.forEach((response) -> assertThat(response.toString(),
				response.isComplete() || response.outcome().equals("not-run"), is(true)));
	}

}
