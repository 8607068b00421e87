package org.cyclamenstall.test.follower;

import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenstall.internal.follower.FollowPace;
import org.cyclamenstall.internal.follower.FollowStep;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of {@link FollowPace}.
 */
class FollowPaceTests {

	private static final long SECOND_MILLIS = 1_000;

	private final FollowPace backoff = new FollowPace(RandomSource.XO_RO_SHI_RO_128_PP.create(1));

	private int callsPerSecond(FollowStep result) {
		long elapsedMillis = 0;
		int calls = 0;
		while (elapsedMillis < SECOND_MILLIS) {
			calls++;
			elapsedMillis += this.backoff.delayMillis(result);
		}
		return calls;
	}

	@Nested
	class WhileChangesArriveContinuously {

		@Test
		void theyAreBatched() {
			assertThat(callsPerSecond(FollowStep.CHANGED), lessThan(8));
		}

		@Test
		void eachIsReadWithinAThirdOfASecond() {
			for (int change = 0; change < 100; change++) {
				assertThat(FollowPaceTests.this.backoff.delayMillis(FollowStep.CHANGED), lessThanOrEqualTo(333L));
			}
		}

	}

	@Nested
	class WhileNothingChanges {

		@Test
		void theNextCallIsNotDelayed() {
			assertThat(FollowPaceTests.this.backoff.delayMillis(FollowStep.UNCHANGED), equalTo(0L));
		}

	}

	@Nested
	class WhileTheStoreIsUnavailable {

		@Test
		void callsAreDelayed() {
			assertThat(callsPerSecond(FollowStep.FAILED), lessThan(8));
			assertThat(FollowPaceTests.this.backoff.delayMillis(FollowStep.FAILED), greaterThan(249L));
		}

		@Test
		void aSuccessfulPollResetsTheDelay() {
			callsPerSecond(FollowStep.FAILED);
			FollowPaceTests.this.backoff.delayMillis(FollowStep.UNCHANGED);
			assertThat(FollowPaceTests.this.backoff.delayMillis(FollowStep.FAILED), lessThan(120L));
		}

	}

}
