package org.cyclamenstall.test.placement;

import java.time.Duration;

import org.cyclamenstall.hosts.HostState;
import org.cyclamenstall.policy.AttemptResult;
import org.cyclamenstall.policy.RetryDecision;
import org.cyclamenstall.policy.RetryReason;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Tests of what upstreams say of themselves in their responses.
 */
class UpstreamAnnouncementTests {

	private static final Duration UNAVAILABLE = Duration.ofSeconds(2);

	private final PlacementFixture fixture = new PlacementFixture(2, "domain-0", 1);

	private int indexOf(String upstream) {
		return Integer.parseInt(upstream.substring("engine-".length()));
	}

	/**
	 * Lets one upstream say that it wants nothing, and the other one leave.
	 * @return the name of the first one
	 */
	private String refuseAtTheOnlyUpstream(Duration duration) {
		PlacedRequest lookup = this.fixture.submitLookup();
		String upstream = lookup.upstream();
		this.fixture.updateHost(1 - indexOf(upstream), HostState.LEAVING, 1);
		refuse(lookup, duration);
		return upstream;
	}

	private static void refuse(PlacedRequest request, Duration duration) {
		request.grant.recordUnavailable(duration);
		request.grant.release(AttemptResult.REFUSED);
	}

	private void advance(Duration duration) {
		this.fixture.clock.advance(duration);
		this.fixture.controller.tick();
	}

	@Nested
	class AnUpstreamThatWantsNothing {

		@Test
		void getsNoFirstAttemptNoRetryAndNoReplacement() {
			PlacedRequest stream = UpstreamAnnouncementTests.this.fixture.submitChat();
			PlacedRequest refused = UpstreamAnnouncementTests.this.fixture.submitLookup();
			while (refused.upstream().equals(stream.upstream())) {
				refused = UpstreamAnnouncementTests.this.fixture.submitLookup();
			}
			String upstream = refused.upstream();
			refuse(refused, UNAVAILABLE);
			for (int count = 0; count < 3; count++) {
				assertThat(UpstreamAnnouncementTests.this.fixture.submitLookup().upstream(), not(equalTo(upstream)));
			}
			stream.grant.recordTokens(1);
			assertThat(stream.replace(), is(RetryDecision.NO_UPSTREAM));
		}

		@Test
		void makesARequestWaitUntilItReturns() {
			refuseAtTheOnlyUpstream(Duration.ofMillis(300));
			PlacedRequest waiting = UpstreamAnnouncementTests.this.fixture.submitLookup();
			assertThat(waiting.isPending(), is(true));
			advance(Duration.ofMillis(200));
			assertThat(waiting.isPending(), is(true));
			advance(Duration.ofMillis(200));
			assertThat(waiting.isPending(), is(false));
		}

		@Test
		void isNotWaitedForIfTheTimeIsTooShort() {
			refuseAtTheOnlyUpstream(Duration.ofSeconds(30));
			PlacedRequest hopeless = UpstreamAnnouncementTests.this.fixture.submitLookup();
			assertThat(hopeless.refusal != null && hopeless.refusal.retryAfter() != null, is(true));
		}

		@Test
		void isLeftAloneForTheLongestTimeThatItSaid() {
			PlacedRequest first = UpstreamAnnouncementTests.this.fixture.submitChat();
			String upstream = first.upstream();
			UpstreamAnnouncementTests.this.fixture.updateHost(1 - indexOf(upstream), HostState.LEAVING, 1);
			PlacedRequest second = UpstreamAnnouncementTests.this.fixture.submitChat();
			refuse(first, UNAVAILABLE);
			refuse(second, Duration.ofMillis(100));
			PlacedRequest waiting = UpstreamAnnouncementTests.this.fixture.submitChat();
			advance(Duration.ofMillis(1_900));
			assertThat(waiting.grant == null, is(true));
		}

		@Test
		void returnsWithOneRequestAtATime() {
			refuseAtTheOnlyUpstream(Duration.ofMillis(100));
			PlacedRequest first = UpstreamAnnouncementTests.this.fixture.submitLookup();
			PlacedRequest second = UpstreamAnnouncementTests.this.fixture.submitLookup();
			advance(Duration.ofMillis(150));
			assertThat(first.isPending(), is(false));
			assertThat(second.isPending(), is(true));
			first.grant.release(AttemptResult.COMPLETED);
			assertThat(second.isPending(), is(false));
		}

		@Test
		void startsAnewAsAnotherIncarnation() {
			String upstream = refuseAtTheOnlyUpstream(Duration.ofSeconds(30));
			UpstreamAnnouncementTests.this.fixture.restartHost(upstream);
			assertThat(UpstreamAnnouncementTests.this.fixture.submitLookup().upstream(), equalTo(upstream));
		}

		@Test
		void isNotSpokenForByItsEarlierIncarnation() {
			PlacedRequest late = UpstreamAnnouncementTests.this.fixture.submitLookup();
			String upstream = late.upstream();
			UpstreamAnnouncementTests.this.fixture.updateHost(1 - indexOf(upstream), HostState.LEAVING, 1);
			UpstreamAnnouncementTests.this.fixture.restartHost(upstream);
			late.grant.recordUnavailable(Duration.ofSeconds(30));
			late.grant.markUpstreamDraining();
			assertThat(UpstreamAnnouncementTests.this.fixture.submitLookup().upstream(), equalTo(upstream));
		}

	}

	@Nested
	class ARequestThatIsNotSentYet {

		@Test
		void isWithdrawnAndPlacedElsewhereWithoutTheRetryBudget() {
			PlacedRequest refused = UpstreamAnnouncementTests.this.fixture.submitLookup();
			PlacedRequest[] granted = new PlacedRequest[8];
			for (int index = 0; index < granted.length; index++) {
				granted[index] = UpstreamAnnouncementTests.this.fixture.submitLookup();
			}
			String upstream = refused.upstream();
			refuse(refused, UNAVAILABLE);
			for (PlacedRequest request : granted) {
				boolean sameUpstream = request.upstream().equals(upstream);
				assertThat(request.grant.maySend(), is(!sameUpstream));
				if (sameUpstream) {
					request.grant.release(AttemptResult.NOT_SENT);
					assertThat(request.retry(RetryReason.WITHDRAWN), is(RetryDecision.GRANTED));
				}
			}
		}

	}

}
