package org.cyclamenstall.test.policy;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.cyclamenstall.catalogue.Tier;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests that the controller's lock is free whenever the host list is called: the host
 * list calls the controller under a lock of its own.
 */
@Timeout(value = 2, unit = TimeUnit.MINUTES)
class HostListLockTests {

	@Nested
	class WhenAServiceIsUsedForTheFirstTime {

		@Test
		void theHostListIsNotCalledUnderTheLock() {
			PolicyFixture fixture = new PolicyFixture(PolicyFixture.TIERS, 1, 1);
			fixture.whenWatched = () -> CompletableFuture.runAsync(fixture::publish)
				.orTimeout(20, TimeUnit.SECONDS)
				.join();
			fixture.submit(Tier.INTERACTIVE);
		}

	}

}
