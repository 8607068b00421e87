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
 * Tests of which upstreams get work.
 */
class UpstreamChoiceTests {

	private final PolicyFixture fixture = new PolicyFixture(PolicyFixture.settings("tiers", 8, 100), 3, 1);

	private String grantedHost() {
		Grant grant = this.fixture.submit(Tier.INTERACTIVE).grant();
		grant.release(AttemptResult.COMPLETED);
		return grant.upstream().host();
	}

	private int grantsTo(String host, int requests) {
		int count = 0;
		for (int number = 0; number < requests; number++) {
			count += grantedHost().equals(host) ? 1 : 0;
		}
		return count;
	}

	@Nested
	class WhenAnUpstreamLeaves {

		@Test
		void getsNoWorkOnceListedAsLeaving() {
			UpstreamChoiceTests.this.fixture.listed.set(0, PolicyFixture.host(1, HostState.LEAVING));
			UpstreamChoiceTests.this.fixture.publish();
			assertThat(grantsTo("cuptor-1", 100), equalTo(0));
		}

		@Test
		void getsNoWorkOnceRemovedFromTheList() {
			UpstreamChoiceTests.this.fixture.listed.remove(0);
			UpstreamChoiceTests.this.fixture.publish();
			assertThat(grantsTo("cuptor-1", 100), equalTo(0));
		}

		@Test
		void getsNoWorkOnceItSaysThatItDrains() {
			Grant grant = UpstreamChoiceTests.this.fixture.submit(Tier.BULK).grant();
			grant.markUpstreamDraining();
			grant.release(AttemptResult.COMPLETED);
			assertThat(grantsTo(grant.upstream().host(), 100), equalTo(0));
			UpstreamChoiceTests.this.fixture.advanceMillis(30_000);
			assertThat(grantsTo(grant.upstream().host(), 100), equalTo(0));
		}

		@Test
		void isProbedAgainAfterARefusedConnection() {
			Grant grant = UpstreamChoiceTests.this.fixture.submit(Tier.BULK).grant();
			grant.release(AttemptResult.UNREACHABLE);
			assertThat(grantsTo(grant.upstream().host(), 100), equalTo(0));
			UpstreamChoiceTests.this.fixture.advanceMillis(10_000);
			assertThat(grantsTo(grant.upstream().host(), 100), greaterThan(0));
		}

	}

	@Nested
	class WhenNoUpstreamIsLive {

		@Test
		void refusesNewAndWaitingRequests() {
			PolicyFixture small = new PolicyFixture(PolicyFixture.settings("tiers", 1, 100), 1, 1);
			small.submit(Tier.INTERACTIVE);
			RecordedListener waiting = small.submit(Tier.BULK);
			small.listed.clear();
			small.publish();
			assertThat(small.submit(Tier.INTERACTIVE).refusal(), equalTo(ErrorKind.NO_LIVE_UPSTREAM));
			small.advanceMillis(200);
			assertThat(waiting.answers(), equalTo(0));
			small.advanceMillis(3_000);
			assertThat(waiting.refusal(), equalTo(ErrorKind.NO_LIVE_UPSTREAM));
		}

	}

	@Nested
	class WhenAnUpstreamIsSlow {

		private void answerAll(int rounds, List<String> slow) {
			PolicyFixture fixture = UpstreamChoiceTests.this.fixture;
			for (int round = 0; round < rounds; round++) {
				List<RecordedListener> late = new ArrayList<>();
				for (int count = 0; count < 6; count++) {
					RecordedListener listener = fixture.submit(Tier.INTERACTIVE);
					if (slow.contains(listener.grant().upstream().host())) {
						late.add(listener);
					}
					else {
						fixture.advanceMillis(20);
						answer(listener);
					}
				}
				fixture.advanceMillis(1_500);
				late.forEach(this::answer);
			}
		}

		private void answer(RecordedListener listener) {
			listener.grant().recordFirstToken();
			listener.grant().release(AttemptResult.COMPLETED);
		}

		@Test
		void getsLessWork() {
			answerAll(20, List.of("cuptor-1"));
			assertThat(grantsTo("cuptor-1", 90), lessThan(10));
		}

		@Test
		void countsWhileItsFirstTokenIsOverdue() {
			answerAll(10, List.of());
			RecordedListener hanging = UpstreamChoiceTests.this.fixture.submit(Tier.INTERACTIVE);
			UpstreamChoiceTests.this.fixture.advanceMillis(400);
			assertThat(grantedHost(), not(equalTo(hanging.grant().upstream().host())));
			assertThat(grantsTo(hanging.grant().upstream().host(), 50), equalTo(0));
		}

		@Test
		void isNeverEjectedWithMoreThanAThirdOfThePool() {
			answerAll(20, List.of("cuptor-1", "cuptor-2"));
			int toSlow = grantsTo("cuptor-1", 50) + grantsTo("cuptor-2", 50);
			List<RecordedListener> all = new ArrayList<>();
			for (int count = 0; count < 16; count++) {
				all.add(UpstreamChoiceTests.this.fixture.submit(Tier.INTERACTIVE));
			}
			long hosts = all.stream()
				.filter(RecordedListener::isGranted)
				.map((listener) -> listener.grant().upstream().host())
				.distinct()
				.count();
			assertThat("hosts in use, with " + toSlow + " grants to slow ones before", 3 - hosts,
					lessThanOrEqualTo(1L));
		}

	}

}
