package org.cyclamenstall.test.store;

import java.time.Duration;

import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenstall.internal.store.CallBudget;
import org.cyclamenstall.internal.store.OutagePause;
import org.cyclamenstall.junit.ManualClock;
import org.cyclamenstall.store.StorePriority;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link CallBudget} and {@link OutagePause}.
 */
class CallBudgetTests {

	private final ManualClock clock = new ManualClock();

	private int acquire(CallBudget budget, StorePriority priority) {
		int acquired = 0;
		while (budget.tryAcquire(priority)) {
			acquired++;
		}
		return acquired;
	}

	@Nested
	class WhenManyCallsAreMadeAtOnce {

		@Test
		void eachPriorityLeavesCallsToTheHigherOnes() {
			CallBudget budget = new CallBudget(CallBudgetTests.this.clock, 100);
			assertThat(acquire(budget, StorePriority.BACKGROUND), is(50));
			assertThat(acquire(budget, StorePriority.CATALOGUE), is(30));
			assertThat(acquire(budget, StorePriority.CLAIM), is(20));
			CallBudgetTests.this.clock.advance(Duration.ofMillis(100));
			assertThat(acquire(budget, StorePriority.BACKGROUND), is(0));
			assertThat(acquire(budget, StorePriority.CLAIM), is(10));
		}

	}

	@Nested
	class WhenTheStoreReturns {

		@Test
		void manyDaemonsComeBackSpreadOverTime() {
			int early = 0;
			int late = 0;
			for (int seed = 0; seed < 400; seed++) {
				OutagePause pause = new OutagePause(CallBudgetTests.this.clock,
						RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
				for (int failure = 0; failure < 10; failure++) {
					pause.failed();
				}
				CallBudgetTests.this.clock.advance(Duration.ofMillis(500));
				early += pause.allows() ? 1 : 0;
				CallBudgetTests.this.clock.advance(Duration.ofMillis(1_500));
				late += pause.allows() ? 1 : 0;
			}
			assertThat(early, greaterThan(50));
			assertThat(200, greaterThan(early));
			assertThat(late, is(400));
		}

	}

}
