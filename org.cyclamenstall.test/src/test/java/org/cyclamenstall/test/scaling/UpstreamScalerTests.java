package org.cyclamenstall.test.scaling;

import java.time.Duration;
import java.util.List;

import org.cyclamenstall.control.UpstreamOrder;
import org.cyclamenstall.internal.scaling.UpstreamScaler;
import org.cyclamenstall.routes.ScalingProperties;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of {@link UpstreamScaler}: replays of what happens to the upstreams of a service
 * while a need is given.
 */
class UpstreamScalerTests {

	private static final int PER_DOMAIN = 10;

	private static final int NEEDED = 40;

	private static final Duration SETTLED = Duration.ofSeconds(60);

	private final OrderedUpstreams upstreams = new OrderedUpstreams(PER_DOMAIN);

	@Nested
	class InCalm {

		@Test
		void preemptibleUpstreamsReplaceTheOthersWithoutALack() {
			UpstreamScalerTests.this.upstreams.run(SETTLED, NEEDED);
			assertThat(UpstreamScalerTests.this.upstreams.live(false), is(0));
			assertThat(UpstreamScalerTests.this.upstreams.guaranteed(), greaterThanOrEqualTo(NEEDED - 4));
			assertThat(UpstreamScalerTests.this.upstreams.smallestLiveCount, greaterThanOrEqualTo(NEEDED));
		}

		@Test
		void nothingIsOrderedOnceTheNumberIsRight() {
			UpstreamScalerTests.this.upstreams.run(SETTLED, NEEDED);
			int orders = UpstreamScalerTests.this.upstreams.orders.size();
			UpstreamScalerTests.this.upstreams.run(SETTLED, NEEDED);
			assertThat(UpstreamScalerTests.this.upstreams.orders.size(), is(orders));
		}

		@Test
		void theMaximumOfAFailureDomainIsKept() {
			UpstreamScalerTests.this.upstreams.run(SETTLED, 500);
			for (UpstreamOrder order : UpstreamScalerTests.this.upstreams.orders) {
				assertThat(order.toString(), order.count(), lessThanOrEqualTo(21));
			}
			assertThat(UpstreamScalerTests.this.upstreams.live(), is(84));
		}

		@Test
		void aNewLeaderDoesNotOrderMore() {
			UpstreamScalerTests.this.upstreams.run(SETTLED, NEEDED);
			int live = UpstreamScalerTests.this.upstreams.live();
			for (int change = 0; change < 5; change++) {
				UpstreamScalerTests.this.upstreams.scaler = new UpstreamScaler("engines");
				UpstreamScalerTests.this.upstreams.run(Duration.ofSeconds(10),
						UpstreamScalerTests.this.upstreams.guaranteed());
			}
			assertThat(UpstreamScalerTests.this.upstreams.live(), equalTo(live));
		}

		@Test
		void preemptibleUpstreamsThatCostMoreInAllAreNotUsed() {
			UpstreamScalerTests.this.upstreams.properties = new ScalingProperties(1, 21, OrderedUpstreams.BOOT_TIME,
					0.8, UpstreamScalerTests.this.upstreams.properties.costByDomain());
			UpstreamScalerTests.this.upstreams.run(SETTLED, NEEDED);
			assertThat(UpstreamScalerTests.this.upstreams.orders, empty());
		}

		@Test
		void nothingIsOrderedForAServiceWithoutAListedUpstream() {
			List<UpstreamOrder> orders = new UpstreamScaler("engines")
				.decide(UpstreamScalerTests.this.upstreams.properties, List.of(), NEEDED, 0);
			assertThat(orders, empty());
		}

	}

	@Nested
	class WhenTheNeedRises {

		@Test
		void upstreamsAreOrderedAtOnce() {
			UpstreamScalerTests.this.upstreams.run(SETTLED, NEEDED);
			UpstreamScalerTests.this.upstreams.run(Duration.ofSeconds(5), 1.5 * NEEDED);
			assertThat(UpstreamScalerTests.this.upstreams.guaranteed(), greaterThan((int) (1.4 * NEEDED)));
		}

		@Test
		void aSmallRiseOrdersNothing() {
			UpstreamScalerTests.this.upstreams.run(SETTLED, NEEDED);
			int orders = UpstreamScalerTests.this.upstreams.orders.size();
			UpstreamScalerTests.this.upstreams.run(Duration.ofSeconds(5), 1.04 * NEEDED);
			assertThat(UpstreamScalerTests.this.upstreams.orders.size(), is(orders));
		}

	}

	@Nested
	class WhenAFailureDomainIsTaken {

		@Test
		void theOthersAreEnough() {
			UpstreamScalerTests.this.upstreams.run(SETTLED, NEEDED);
			UpstreamScalerTests.this.upstreams.dryDomains.addAll(OrderedUpstreams.DOMAINS);
			UpstreamScalerTests.this.upstreams.take("b");
			UpstreamScalerTests.this.upstreams.run(Duration.ofSeconds(10), NEEDED);
			assertThat(UpstreamScalerTests.this.upstreams.smallestLiveCount, greaterThanOrEqualTo(NEEDED - 4));
		}

		@Test
		void theReserveIsOrderedInTheOtherDomains() {
			UpstreamScalerTests.this.upstreams.run(SETTLED, NEEDED);
			UpstreamScalerTests.this.upstreams.dryDomains.add("b");
			UpstreamScalerTests.this.upstreams.take("b");
			UpstreamScalerTests.this.upstreams.run(Duration.ofSeconds(10), NEEDED);
			assertThat(UpstreamScalerTests.this.upstreams.guaranteed(), greaterThanOrEqualTo(NEEDED - 4));
		}

		@Test
		void theDomainIsUsedAgainLater() {
			UpstreamScalerTests.this.upstreams.run(SETTLED, NEEDED);
			UpstreamScalerTests.this.upstreams.dryDomains.add("b");
			UpstreamScalerTests.this.upstreams.take("b");
			UpstreamScalerTests.this.upstreams.run(Duration.ofSeconds(10), NEEDED);
			UpstreamScalerTests.this.upstreams.dryDomains.clear();
			UpstreamScalerTests.this.upstreams.run(SETTLED, NEEDED);
			long inDomain = UpstreamScalerTests.this.upstreams.hosts()
				.stream()
				.filter((host) -> host.failureDomain().equals("b"))
				.count();
			assertThat(inDomain, greaterThan(0L));
		}

	}

	@Nested
	class WhenNoneCanBeHad {

		@Test
		void theOnDemandUpstreamsStayAndOrdersAreFew() {
			UpstreamScalerTests.this.upstreams.dryDomains.addAll(OrderedUpstreams.DOMAINS);
			UpstreamScalerTests.this.upstreams.run(SETTLED, NEEDED);
			assertThat(UpstreamScalerTests.this.upstreams.live(false), is(NEEDED));
			assertThat(UpstreamScalerTests.this.upstreams.orders.size(), lessThan(100));
		}

		@Test
		void onDemandOnesAreOrderedForARise() {
			UpstreamScalerTests.this.upstreams.dryDomains.addAll(OrderedUpstreams.DOMAINS);
			UpstreamScalerTests.this.upstreams.run(SETTLED, 1.5 * NEEDED);
			assertThat(UpstreamScalerTests.this.upstreams.live(false), greaterThanOrEqualTo((int) (1.5 * NEEDED)));
		}

		@Test
		void anOrderThatTheListDoesNotShowIsGivenAgain() {
			UpstreamScalerTests.this.upstreams.loosesOrders = true;
			UpstreamScalerTests.this.upstreams.run(Duration.ofSeconds(6), NEEDED);
			int first = UpstreamScalerTests.this.upstreams.orders.size();
			UpstreamScalerTests.this.upstreams.loosesOrders = false;
			UpstreamScalerTests.this.upstreams.run(SETTLED, NEEDED);
			assertThat(first, is(OrderedUpstreams.DOMAINS.size()));
			assertThat(UpstreamScalerTests.this.upstreams.live(true), greaterThan(NEEDED));
		}

	}

}
