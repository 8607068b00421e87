package org.cyclamenstall.test.policy;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

/**
 * Tests that the controller does not hold its lock while it calls the host list. The host
 * list notifies the controller while holding its own lock, so the two could deadlock.
 */
@Timeout(value = 2, unit = TimeUnit.MINUTES)
class HostListLockTests {

	@Nested
	class WhenAServiceIsUsedForTheFirstTime {

		@Test
		void watchIsCalledWithoutTheControllerLock() {
			PolicyFixture fixture = new PolicyFixture(PolicyFixture.TIER_SCHEDULING, 1, 1);
			AtomicInteger watchCalls = new AtomicInteger();
			fixture.onWatch = () -> {
				watchCalls.incrementAndGet();
				CompletableFuture.runAsync(fixture::publishHosts).orTimeout(20, TimeUnit.SECONDS).join();
			};
			fixture.publishModel();
			assertThat(watchCalls.get(), equalTo(1));
		}

	}

}
