package org.cyclamenstall.test.gateway;

import org.cyclamenstall.routes.RequestPriority;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests of {@link RequestPriority}.
 */
class RequestPriorityTests {

	@Nested
	class TheAccount {

		@Test
		void takesPrecedenceOverTheRoute() {
			assertThat(RequestPriority.of(0, 2), lessThan(RequestPriority.of(1, 0)));
		}

		@Test
		void hasThePriorityOfTheRouteIfItHasNone() {
			assertThat(RequestPriority.of(null, 1), equalTo(RequestPriority.of(1, 1)));
		}

	}

	@Nested
	class TheRoute {

		@Test
		void ordersAccountsOfEqualPriority() {
			assertThat(RequestPriority.of(1, 0), lessThan(RequestPriority.of(1, 1)));
			assertThat(RequestPriority.of(1, 1), lessThan(RequestPriority.of(1, 2)));
		}

	}

	@Nested
	class APriorityOutOfRange {

		@Test
		void isLimitedToTheRange() {
			assertThat(RequestPriority.of(7, 9), equalTo(RequestPriority.LOWEST));
			assertThat(RequestPriority.of(-1, -4), equalTo(0));
		}

	}

}
