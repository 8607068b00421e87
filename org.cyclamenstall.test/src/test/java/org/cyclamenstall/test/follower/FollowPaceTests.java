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

	private final FollowPace pace = new FollowPace(RandomSource.XO_RO_SHI_RO_128_PP.create(1));

	private int callsInASecond(FollowStep step) {
		long passedMillis = 0;
		int calls = 0;
		while (passedMillis < SECOND_MILLIS) {
			calls++;
			passedMillis += this.pace.pauseMillis(step);
		}
		return calls;
	}

	@Nested
	class WhileChangesFollowEachOther {

		@Test
		void theyAreGathered() {
			assertThat(callsInASecond(FollowStep.CHANGED), lessThan(8));
		}

		@Test
		void eachIsHeardWithinAThirdOfASecond() {
			for (int change = 0; change < 100; change++) {
				assertThat(FollowPaceTests.this.pace.pauseMillis(FollowStep.CHANGED), lessThanOrEqualTo(333L));
			}
		}

	}

	@Nested
	class WhileNothingChanges {

		@Test
		void theNextCallWaitsAtTheStoreOnly() {
			assertThat(FollowPaceTests.this.pace.pauseMillis(FollowStep.UNCHANGED), equalTo(0L));
		}

	}

	@Nested
	class WhileTheStoreDoesNotAnswer {

		@Test
		void callsBecomeRare() {
			assertThat(callsInASecond(FollowStep.FAILED), lessThan(8));
			assertThat(FollowPaceTests.this.pace.pauseMillis(FollowStep.FAILED), greaterThan(249L));
		}

		@Test
		void anAnswerEndsTheRareCalls() {
			callsInASecond(FollowStep.FAILED);
			FollowPaceTests.this.pace.pauseMillis(FollowStep.UNCHANGED);
			assertThat(FollowPaceTests.this.pace.pauseMillis(FollowStep.FAILED), lessThan(120L));
		}

	}

}
