package org.cyclamenstall.test.placement;

import org.cyclamenstall.policy.AttemptResult;
import org.cyclamenstall.policy.RetryReason;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;

/**
 * Tests of which requests count as begun by an upstream.
 */
class StartedRequestTests {

	private final PlacementFixture fixture = new PlacementFixture(4, "domain-0", 1);

	@Nested
	class Streams {

		@Test
		void countWithTheirFirstEvent() {
			PlacedRequest chat = StartedRequestTests.this.fixture.submitChat();
			chat.grant.recordFirstToken();
			assertThat(StartedRequestTests.this.fixture.startedAccounts, empty());
			chat.grant.recordTokens(1);
			chat.grant.recordTokens(1);
			chat.grant.release(AttemptResult.COMPLETED);
			assertThat(StartedRequestTests.this.fixture.startedAccounts, contains("account"));
		}

		@Test
		void countOnceWhenTheyAreResumed() {
			PlacedRequest chat = StartedRequestTests.this.fixture.submitChat();
			chat.grant.recordTokens(1);
			chat.grant.release(AttemptResult.CONNECTION_LOST);
			chat.retry(RetryReason.STREAM_CUT);
			chat.grant.recordTokens(1);
			chat.grant.release(AttemptResult.COMPLETED);
			assertThat(StartedRequestTests.this.fixture.startedAccounts, hasSize(1));
		}

	}

	@Nested
	class OtherRequests {

		@ParameterizedTest
		@CsvSource({ "COMPLETED, 1", "FAILED, 1", "REFUSED, 0", "UNREACHABLE, 0", "NOT_SENT, 0", "CANCELLED, 0" })
		void countIfTheUpstreamResponded(AttemptResult result, int count) {
			PlacedRequest booking = StartedRequestTests.this.fixture.submitBooking();
			booking.grant.release(result);
			assertThat(StartedRequestTests.this.fixture.startedAccounts, hasSize(count));
		}

	}

}
