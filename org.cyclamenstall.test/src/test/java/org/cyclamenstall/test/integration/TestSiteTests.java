package org.cyclamenstall.test.integration;

import java.util.Collections;
import java.util.List;
import java.util.stream.StreamSupport;

import org.cyclamenstall.junit.TestSite;
import org.cyclamenstall.standin.site.ConditionWaiter;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;

/**
 * Tests that {@link TestSite#restore()} leaves no effect of earlier faults behind, so
 * that integration tests that share a site do not depend on their order.
 */
class TestSiteTests {

	private static final int DAEMONS = 3;

	private static final int ISOLATED_DAEMON = 2;

	/** Repeated because the time until a suspect is contacted again is random. */
	private static final int ROUNDS = 5;

	@Nested
	class WhenAHostWasSuspected {

		@Test
		void everyDaemonReportsAllHostsAsAliveAfterRestore() {
			try (TestSite site = TestSite.launch(TestSite.settings(DAEMONS))) {
				for (int round = 0; round < ROUNDS; round++) {
					site.site().isolateFromPeers(ISOLATED_DAEMON);
					awaitSuspects(site, 0, 1);
					awaitSuspects(site, 1, 1);
					awaitSuspects(site, ISOLATED_DAEMON, 2);
					site.restore();
					for (int daemon = 0; daemon < DAEMONS; daemon++) {
						assertThat("states at daemon " + daemon + " in round " + round, hostStates(site, daemon),
								everyItem(is("ALIVE")));
					}
				}
			}
		}

		private void awaitSuspects(TestSite site, int daemon, int count) {
			ConditionWaiter.await(() -> Collections.frequency(hostStates(site, daemon), "SUSPECT") == count,
					() -> "daemon " + daemon + " reports " + hostStates(site, daemon));
		}

		private List<String> hostStates(TestSite site, int daemon) {
			return StreamSupport
				.stream(site.daemon(daemon).operatorClient().get("/v1/hosts").json().path("hosts").spliterator(), false)
				.map((host) -> host.path("state").asText())
				.toList();
		}

	}

}
