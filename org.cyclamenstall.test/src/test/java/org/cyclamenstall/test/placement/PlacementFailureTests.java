package org.cyclamenstall.test.placement;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.cyclamenstall.events.Event;
import org.cyclamenstall.internal.peers.load.UpstreamLoad;
import org.cyclamenstall.standin.site.ConditionWaiter;
import org.cyclamenstall.test.peers.load.LoadReports;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Tests of the placement controller while its event log throws an exception.
 */
@Timeout(value = 1, unit = TimeUnit.MINUTES)
class PlacementFailureTests {

	private static final String DOMAIN = "domain-0";

	@Test
	void anExceptionInATickStopsTheTicks() {
		PlacementFixture fixture = new PlacementFixture(1, DOMAIN, 1);
		fixture.submitPlan(2, 12_000, "first");
		report(fixture, 1, LoadReports.load("engine-0", 1, 2, 60_000));
		PlacedRequest queued = fixture.submitPlan(2, 12_000, "second");
		assertThat(queued.isPending(), is(true));
		AtomicInteger failures = new AtomicInteger();
		fixture.eventListener = (event) -> {
			if (event instanceof Event.RequestPlaced && failures.getAndIncrement() == 0) {
				throw new IllegalStateException("thrown by the test");
			}
		};
		report(fixture, 2);
		ConditionWaiter.await(() -> !queued.isPending(), () -> "the request waits although the engine has room");
		assertThat(failures.get(), greaterThan(0));
	}

	private static void report(PlacementFixture fixture, long sequence, UpstreamLoad... loads) {
		fixture.fleetLoad.record(LoadReports.report(LoadReports.endpoint(9, DOMAIN), sequence, loads),
				fixture.clock.nanoTime());
	}

}
