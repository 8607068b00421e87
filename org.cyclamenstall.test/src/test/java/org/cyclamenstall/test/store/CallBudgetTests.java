package org.cyclamenstall.test.store;

import java.time.Duration;

import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenstall.internal.store.CallBudget;
import org.cyclamenstall.internal.store.OutageBackoff;
import org.cyclamenstall.junit.ManualClock;
import org.cyclamenstall.store.StorePriority;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link CallBudget} and {@link OutageBackoff}.
 */
class CallBudgetTests {

	private final ManualClock clock = new ManualClock();

	private int acquireAll(CallBudget budget, StorePriority priority) {
		int acquired = 0;
		while (budget.tryAcquire(priority)) {
			acquired++;
		}
		return acquired;
	}

	@Nested
	class WhenManyCallsAreMadeAtOnce {

		@Test
		void callsAreReservedForHigherPriorities() {
			CallBudget budget = new CallBudget(CallBudgetTests.this.clock, 100);
			assertThat(acquireAll(budget, StorePriority.BACKGROUND), is(50));
			assertThat(acquireAll(budget, StorePriority.CATALOGUE), is(30));
			assertThat(acquireAll(budget, StorePriority.CLAIM), is(20));
			CallBudgetTests.this.clock.advance(Duration.ofMillis(100));
			assertThat(acquireAll(budget, StorePriority.BACKGROUND), is(0));
			assertThat(acquireAll(budget, StorePriority.CLAIM), is(10));
		}

	}

	@Nested
	class AfterConsecutiveFailures {

		@Test
		void callsOfManyDaemonsAreSpreadOverTime() {
			int allowedAfterHalfASecond = 0;
			int allowedAfterTwoSeconds = 0;
			for (int seed = 0; seed < 400; seed++) {
				OutageBackoff backoff = new OutageBackoff(CallBudgetTests.this.clock,
						RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
				for (int failure = 0; failure < 10; failure++) {
					backoff.recordFailure();
				}
				CallBudgetTests.this.clock.advance(Duration.ofMillis(500));
				allowedAfterHalfASecond += backoff.isCallAllowed() ? 1 : 0;
				CallBudgetTests.this.clock.advance(Duration.ofMillis(1_500));
				allowedAfterTwoSeconds += backoff.isCallAllowed() ? 1 : 0;
			}
			assertThat(allowedAfterHalfASecond, greaterThan(50));
			assertThat(200, greaterThan(allowedAfterHalfASecond));
			assertThat(allowedAfterTwoSeconds, is(400));
		}

	}

}
