package org.cyclamenstall.test.placement;

import org.cyclamenstall.internal.peers.load.UpstreamLoad;
import org.cyclamenstall.policy.AttemptResult;
import org.cyclamenstall.policy.Grant;
import org.cyclamenstall.policy.RetryDecision;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.not;

/**
 * Tests of the replacement of attempts whose upstream is silent in the middle of a
 * stream.
 */
class PausedStreamTests {

	private static final String DOMAIN = "domain-0";

	@Test
	void theSilentAttemptKeepsItsGrantUntilItIsEnded() {
		PlacementFixture fixture = new PlacementFixture(4, DOMAIN, 1);
		PlacedRequest chat = fixture.submitChat();
		String silentEngine = chat.upstream();
		Grant silentGrant = chat.grant;
		assertThat(chat.replace(), equalTo(RetryDecision.GRANTED));
		assertThat(chat.upstream(), not(equalTo(silentEngine)));
		assertThat(loadOf(fixture, silentEngine), equalTo(1));
		assertThat(loadOf(fixture, chat.upstream()), equalTo(1));
		silentGrant.release(AttemptResult.TIMED_OUT);
		assertThat(loadOf(fixture, silentEngine), equalTo(0));
	}

	@Test
	void theSilentAttemptCountsAsExecuted() {
		PlacementFixture fixture = new PlacementFixture(4, DOMAIN, 1);
		PlacedRequest chat = fixture.submitChat();
		Grant silentGrant = chat.grant;
		assertThat(chat.replace(), equalTo(RetryDecision.GRANTED));
		silentGrant.release(AttemptResult.TIMED_OUT);
		assertThat(chat.replace(), equalTo(RetryDecision.ATTEMPTS_EXHAUSTED));
	}

	@Test
	void theSilentAttemptKeepsItsEngineWhenTheBudgetIsSpent() {
		PlacementFixture fixture = new PlacementFixture(4, DOMAIN, 1);
		PlacedRequest chat = fixture.submitChat();
		while (chat.replace() != RetryDecision.BUDGET_SPENT) {
			chat = fixture.submitChat();
		}
		int loadBefore = loadOf(fixture, chat.upstream());
		chat.grant.release(AttemptResult.COMPLETED);
		assertThat(loadOf(fixture, chat.upstream()), equalTo(loadBefore - 1));
	}

	@Test
	void noReplacementIsSentToAnEjectedEngine() {
		PlacementFixture fixture = new PlacementFixture(2, DOMAIN, 1);
		PlacedRequest unreachable = fixture.submitChat();
		String ejectedEngine = unreachable.upstream();
		unreachable.grant.release(AttemptResult.UNREACHABLE);
		PlacedRequest chat = fixture.submitChat();
		assertThat(chat.upstream(), not(equalTo(ejectedEngine)));
		assertThat(chat.replace(), equalTo(RetryDecision.NO_UPSTREAM));
	}

	@Test
	void enginesThatStaySilentAreEjected() {
		PlacementFixture fixture = new PlacementFixture(2, DOMAIN, 1);
		String silentEngine = fixture.submitChat().upstream();
		int silentStreams = 0;
		while (silentStreams < 3) {
			PlacedRequest chat = fixture.submitChat();
			if (chat.upstream().equals(silentEngine)) {
				chat.replace();
				silentStreams++;
			}
		}
		assertThat(fixture.submitChat().upstream(), not(equalTo(silentEngine)));
	}

	private int loadOf(PlacementFixture fixture, String engine) {
		return fixture.controller.localLoads()
			.stream()
			.filter((load) -> load.upstreamKey() == UpstreamLoad.keyOf(engine))
			.mapToInt(UpstreamLoad::running)
			.sum();
	}

}
