package org.cyclamenstall.test.gateway;

import org.cyclamenstall.routes.RequestRank;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests of {@link RequestRank}.
 */
class RequestRankTests {

	@Nested
	class TheAccount {

		@Test
		void takesPrecedenceOverTheRoute() {
			assertThat(RequestRank.of(0, 2), lessThan(RequestRank.of(1, 0)));
		}

		@Test
		void hasThePriorityOfTheRouteIfItHasNone() {
			assertThat(RequestRank.of(null, 1), equalTo(RequestRank.of(1, 1)));
		}

	}

	@Nested
	class TheRoute {

		@Test
		void ordersAccountsOfEqualPriority() {
			assertThat(RequestRank.of(1, 0), lessThan(RequestRank.of(1, 1)));
			assertThat(RequestRank.of(1, 1), lessThan(RequestRank.of(1, 2)));
		}

	}

	@Nested
	class APriorityOutOfRange {

		@Test
		void isLimitedToTheRange() {
			assertThat(RequestRank.of(7, 9), equalTo(RequestRank.LAST));
			assertThat(RequestRank.of(-1, -4), equalTo(0));
		}

	}

}
