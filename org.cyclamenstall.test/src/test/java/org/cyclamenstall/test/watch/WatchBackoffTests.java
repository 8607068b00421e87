package org.cyclamenstall.test.watch;

import java.time.Duration;

import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenstall.internal.watch.WatchBackoff;
import org.cyclamenstall.internal.watch.WatchResult;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of {@link WatchBackoff}.
 */
class WatchBackoffTests {

	private static final long SECOND_MILLIS = 1_000;

	private final WatchBackoff backoff = new WatchBackoff(Duration.ofMillis(150),
			RandomSource.XO_RO_SHI_RO_128_PP.create(1));

	private int callsPerSecond(WatchResult result) {
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
			assertThat(callsPerSecond(WatchResult.CHANGED), lessThan(8));
		}

		@Test
		void eachIsReadWithinAThirdOfASecond() {
			for (int change = 0; change < 100; change++) {
				assertThat(WatchBackoffTests.this.backoff.delayMillis(WatchResult.CHANGED), lessThanOrEqualTo(333L));
			}
		}

	}

	@Nested
	class WhileNothingChanges {

		@Test
		void theNextCallIsNotDelayed() {
			assertThat(WatchBackoffTests.this.backoff.delayMillis(WatchResult.UNCHANGED), equalTo(0L));
		}

	}

	@Nested
	class WhileTheStoreIsUnavailable {

		@Test
		void callsAreDelayed() {
			assertThat(callsPerSecond(WatchResult.FAILED), lessThan(8));
			assertThat(WatchBackoffTests.this.backoff.delayMillis(WatchResult.FAILED), greaterThan(249L));
		}

		@Test
		void aSuccessfulPollResetsTheDelay() {
			callsPerSecond(WatchResult.FAILED);
			WatchBackoffTests.this.backoff.delayMillis(WatchResult.UNCHANGED);
			assertThat(WatchBackoffTests.this.backoff.delayMillis(WatchResult.FAILED), lessThan(120L));
		}

	}

}
