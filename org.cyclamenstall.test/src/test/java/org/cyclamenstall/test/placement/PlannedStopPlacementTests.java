package org.cyclamenstall.test.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.internal.kernel.ShutdownSchedule;
import org.cyclamenstall.policy.AttemptResult;
import org.cyclamenstall.policy.RetryDecision;
import org.cyclamenstall.policy.RetryReason;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

/**
 * Tests of the requests that a controller still sends to upstreams while its daemon shuts
 * down within a grace period of 8 s.
 */
class PlannedStopPlacementTests {

	private static final Duration GRACE_PERIOD = Duration.ofSeconds(8);

	private final PlacementFixture fixture = new PlacementFixture(1, "domain-0", 1);

	private void shutDown() {
		this.fixture.controller.shutDown(new ShutdownSchedule(this.fixture.clock.nanoTime(), GRACE_PERIOD));
	}

	private void completeChatIn(Duration duration) {
		PlacedRequest chat = this.fixture.submitChat();
		this.fixture.clock.advance(duration);
		chat.grant.recordFirstToken();
		chat.grant.release(AttemptResult.COMPLETED);
	}

	private static void assertRefusedByTheShutdown(PlacedRequest request) {
		assertThat(request.grant, nullValue());
		assertThat(request.refusal, notNullValue());
		assertThat(request.refusal.kind(), equalTo(ErrorKind.SHUTTING_DOWN));
		assertThat(request.refusal.retryAfter(), notNullValue());
	}

	@Nested
	class WhenARequestMustNotBeRepeated {

		@Test
		void isSentIfItsTimeoutEndsInTime() {
			shutDown();
			assertThat(PlannedStopPlacementTests.this.fixture.submitBooking().grant, notNullValue());
		}

		@Test
		void isRefusedIfItsTimeoutEndsTooLate() {
			shutDown();
			assertRefusedByTheShutdown(PlannedStopPlacementTests.this.fixture.submitPlan(2, 12_000, "session"));
		}

		@Test
		void isNotSentAgainIfItsTimeoutEndsTooLate() {
			PlacementFixture twoEngines = new PlacementFixture(2, "domain-0", 1);
			PlacedRequest plan = twoEngines.submitPlan(2, 12_000, "session");
			twoEngines.controller.shutDown(new ShutdownSchedule(twoEngines.clock.nanoTime(), GRACE_PERIOD));
			plan.grant.release(AttemptResult.UNREACHABLE);
			assertThat(plan.retry(RetryReason.UNREACHABLE), equalTo(RetryDecision.SHUTTING_DOWN));
		}

	}

	@Nested
	class WhenARequestMayBeRepeated {

		@Test
		void isRefusedIfNothingIsKnownOfItsDuration() {
			shutDown();
			assertRefusedByTheShutdown(PlannedStopPlacementTests.this.fixture.submitChat());
		}

		@Test
		void isSentIfSuchRequestsEndInTime() {
			completeChatIn(Duration.ofSeconds(2));
			shutDown();
			assertThat(PlannedStopPlacementTests.this.fixture.submitChat().grant, notNullValue());
		}

		@Test
		void isRefusedIfSuchRequestsEndTooLate() {
			completeChatIn(Duration.ofSeconds(7));
			shutDown();
			assertRefusedByTheShutdown(PlannedStopPlacementTests.this.fixture.submitChat());
		}

		@Test
		void isRefusedIfTheDurationsVaryTooMuch() {
			completeChatIn(Duration.ofSeconds(1));
			completeChatIn(Duration.ofSeconds(9));
			shutDown();
			assertRefusedByTheShutdown(PlannedStopPlacementTests.this.fixture.submitChat());
		}

	}

	@Nested
	class WhenRequestsWait {

		private List<PlacedRequest> submitPlansUntilOneWaits() {
			List<PlacedRequest> plans = new ArrayList<>();
			do {
				plans.add(PlannedStopPlacementTests.this.fixture.submitPlan(2, 12_000, "session-" + plans.size()));
			}
			while (!plans.get(plans.size() - 1).isPending());
			return plans;
		}

		// Guards against requests that waited until the process ended.
		@Test
		void thoseThatCannotBeAnsweredInTimeAreRefusedAtOnce() {
			List<PlacedRequest> plans = submitPlansUntilOneWaits();
			PlacedRequest waiting = plans.get(plans.size() - 1);
			shutDown();
			assertRefusedByTheShutdown(waiting);
		}

		@Test
		void thoseThatCanBeAnsweredInTimeGoOnWaiting() {
			submitPlansUntilOneWaits();
			List<PlacedRequest> summaries = new ArrayList<>();
			do {
				summaries.add(PlannedStopPlacementTests.this.fixture.submitSummary());
			}
			while (!summaries.get(summaries.size() - 1).isPending());
			shutDown();
			assertThat(summaries.get(summaries.size() - 1).isPending(), is(true));
		}

	}

	@Nested
	class AfterTheSettleTime {

		@Test
		void aRequestIsRefusedHoweverShortItIs() {
			shutDown();
			PlannedStopPlacementTests.this.fixture.clock.advance(Duration.ofSeconds(2));
			assertRefusedByTheShutdown(PlannedStopPlacementTests.this.fixture.submitBooking());
		}

	}

}
