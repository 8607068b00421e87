package org.cyclamenstall.test.policy;

import java.util.ArrayList;
import java.util.List;

import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.hosts.HostState;
import org.cyclamenstall.policy.AttemptResult;
import org.cyclamenstall.policy.Grant;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

/**
 * Tests of upstream selection, draining and ejection.
 */
class UpstreamSelectionTests {

	private final PolicyFixture fixture = new PolicyFixture(PolicyFixture.settings("tiers", 8, 100), 3, 1);

	private String hostOfNewRequest() {
		Grant grant = this.fixture.submit(Tier.INTERACTIVE).grant();
		grant.release(AttemptResult.COMPLETED);
		return grant.upstream().host();
	}

	private int countGrantsTo(String host, int requests) {
		int count = 0;
		for (int number = 0; number < requests; number++) {
			count += hostOfNewRequest().equals(host) ? 1 : 0;
		}
		return count;
	}

	@Nested
	class WhenAnUpstreamIsUnavailable {

		@Test
		void receivesNoRequestsOnceListedAsLeaving() {
			UpstreamSelectionTests.this.fixture.hosts.set(0, PolicyFixture.host(1, HostState.LEAVING));
			UpstreamSelectionTests.this.fixture.publishHosts();
			assertThat(countGrantsTo("cuptor-1", 100), equalTo(0));
		}

		@Test
		void receivesNoRequestsOnceRemovedFromTheList() {
			UpstreamSelectionTests.this.fixture.hosts.remove(0);
			UpstreamSelectionTests.this.fixture.publishHosts();
			assertThat(countGrantsTo("cuptor-1", 100), equalTo(0));
		}

		@Test
		void receivesNoRequestsOnceItReportsDraining() {
			Grant grant = UpstreamSelectionTests.this.fixture.submit(Tier.BULK).grant();
			grant.markUpstreamDraining();
			grant.release(AttemptResult.COMPLETED);
			assertThat(countGrantsTo(grant.upstream().host(), 100), equalTo(0));
			UpstreamSelectionTests.this.fixture.advanceMillis(30_000);
			assertThat(countGrantsTo(grant.upstream().host(), 100), equalTo(0));
		}

		@Test
		void isProbedAgainAfterARefusedConnection() {
			Grant grant = UpstreamSelectionTests.this.fixture.submit(Tier.BULK).grant();
			grant.release(AttemptResult.UNREACHABLE);
			assertThat(countGrantsTo(grant.upstream().host(), 100), equalTo(0));
			UpstreamSelectionTests.this.fixture.advanceMillis(10_000);
			assertThat(countGrantsTo(grant.upstream().host(), 100), greaterThan(0));
		}

	}

	@Nested
	class WhenNoUpstreamIsLive {

		@Test
		void refusesNewAndQueuedRequests() {
			PolicyFixture small = new PolicyFixture(PolicyFixture.settings("tiers", 1, 100), 1, 1);
			small.submit(Tier.INTERACTIVE);
			RecordingListener queued = small.submit(Tier.BULK);
			small.hosts.clear();
			small.publishHosts();
			assertThat(small.submit(Tier.INTERACTIVE).refusal(), equalTo(ErrorKind.NO_LIVE_UPSTREAM));
			small.advanceMillis(200);
			assertThat(queued.decisionCount(), equalTo(0));
			small.advanceMillis(3_000);
			assertThat(queued.refusal(), equalTo(ErrorKind.NO_LIVE_UPSTREAM));
		}

	}

	@Nested
	class WhenAnUpstreamIsSlow {

		private void completeRequests(int rounds, List<String> slowHosts) {
			PolicyFixture fixture = UpstreamSelectionTests.this.fixture;
			for (int round = 0; round < rounds; round++) {
				List<RecordingListener> pending = new ArrayList<>();
				for (int count = 0; count < 6; count++) {
					RecordingListener listener = fixture.submit(Tier.INTERACTIVE);
					if (slowHosts.contains(listener.grant().upstream().host())) {
						pending.add(listener);
					}
					else {
						fixture.advanceMillis(20);
						complete(listener);
					}
				}
				fixture.advanceMillis(1_500);
				pending.forEach(this::complete);
			}
		}

		private void complete(RecordingListener listener) {
			listener.grant().recordFirstToken();
			listener.grant().release(AttemptResult.COMPLETED);
		}

		@Test
		void receivesFewerRequests() {
			completeRequests(20, List.of("cuptor-1"));
			assertThat(countGrantsTo("cuptor-1", 90), lessThan(10));
		}

		@Test
		void isAvoidedWhileAFirstTokenIsOverdue() {
			completeRequests(10, List.of());
			RecordingListener overdue = UpstreamSelectionTests.this.fixture.submit(Tier.INTERACTIVE);
			UpstreamSelectionTests.this.fixture.advanceMillis(400);
			assertThat(hostOfNewRequest(), not(equalTo(overdue.grant().upstream().host())));
			assertThat(countGrantsTo(overdue.grant().upstream().host(), 50), equalTo(0));
		}

		@Test
		void ejectionIsLimitedToAThirdOfThePool() {
			completeRequests(20, List.of("cuptor-1", "cuptor-2"));
			int grantsToSlow = countGrantsTo("cuptor-1", 50) + countGrantsTo("cuptor-2", 50);
			List<RecordingListener> listeners = new ArrayList<>();
			for (int count = 0; count < 16; count++) {
				listeners.add(UpstreamSelectionTests.this.fixture.submit(Tier.INTERACTIVE));
			}
			long hosts = listeners.stream()
				.filter(RecordingListener::isGranted)
				.map((listener) -> listener.grant().upstream().host())
				.distinct()
				.count();
			assertThat("hosts without a grant, after " + grantsToSlow + " grants to slow hosts", 3 - hosts,
					lessThanOrEqualTo(1L));
		}

	}

}
