package org.cyclamenstall.test.watch;

import java.time.Duration;

import org.cyclamenstall.internal.watch.WatchTiming;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests of {@link WatchTiming}.
 */
class WatchTimingTests {

	/** Time by which a poll may exceed its wait before it is abandoned. */
	private static final Duration TIMEOUT_MARGIN = Duration.ofMillis(700);

	private static final Duration NOTIFICATION_DELAY = Duration.ofSeconds(1);

	private static WatchTiming timing(int disconnectionMillis, int changeMillis, Integer stalenessMillis) {
		return WatchTiming.of(Duration.ofMillis(disconnectionMillis), Duration.ofMillis(changeMillis),
				(stalenessMillis != null) ? Duration.ofMillis(stalenessMillis) : null);
	}

	@Nested
	class WithBounds {

		@Test
		void aSilentConnectionIsDetectedWithinItsBound() {
			for (int bound = 2_000; bound <= 20_000; bound += 500) {
				Duration wait = timing(bound, 2_000, null).longPollWait();
				assertThat(wait.plus(TIMEOUT_MARGIN), lessThan(Duration.ofMillis(bound)));
			}
		}

		@Test
		void aConfirmationLastsUntilTheNextPollEnds() {
			for (int bound = 3_000; bound <= 20_000; bound += 500) {
				Duration wait = timing(60_000, 2_000, bound).longPollWait();
				Duration ageAtNextResponse = wait.plus(NOTIFICATION_DELAY);
				assertThat(ageAtNextResponse, lessThan(Duration.ofMillis(bound)));
			}
		}

		@Test
		void changesAreReadWellWithinTheirBound() {
			Duration longestDelay = timing(3_000, 2_000, 5_000).changeDelay().multipliedBy(2);
			assertThat(longestDelay.multipliedBy(3), lessThan(Duration.ofMillis(2_000)));
		}

	}

	@Nested
	class WithExtremeBounds {

		@Test
		void aPollIsNeverShorterThanHalfASecond() {
			assertThat(timing(100, 100, 100).longPollWait(), equalTo(Duration.ofMillis(500)));
		}

		@Test
		void aPollIsNeverLongerThanTheStoreAllows() {
			assertThat(timing(600_000, 600_000, null).longPollWait(), lessThan(Duration.ofSeconds(30)));
		}

	}

}
