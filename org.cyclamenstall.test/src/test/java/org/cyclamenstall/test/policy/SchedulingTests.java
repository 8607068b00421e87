package org.cyclamenstall.test.policy;

import org.cyclamenstall.catalogue.Limits;
import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.policy.AttemptResult;
import org.cyclamenstall.policy.RetryDecision;
import org.cyclamenstall.policy.RetryReason;
import org.cyclamenstall.policy.Ticket;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

/**
 * Tests of queueing, tier precedence, aging and preemption.
 */
class SchedulingTests {

	@Nested
	class WhenSlotsAreFree {

		@Test
		void grantsImmediately() {
			PolicyFixture fixture = new PolicyFixture(PolicyFixture.TIER_SCHEDULING, 2, 1);
			RecordingListener listener = fixture.submit(Tier.INTERACTIVE);
			assertThat(listener.isGranted(), is(true));
			assertThat(listener.grant().attempt(), equalTo(1));
		}

	}

	@Nested
	class WhenSlotsAreTaken {

		private final PolicyFixture fixture = new PolicyFixture(PolicyFixture.settings("tiers", 1, 2), 1, 1);

		@Test
		void dispatchesTheHighestTierFirst() {
			RecordingListener running = this.fixture.submit(Tier.INTERACTIVE);
			RecordingListener bulk = this.fixture.submit(Tier.BULK);
			RecordingListener interactive = this.fixture.submit(Tier.INTERACTIVE);
			running.grant().release(AttemptResult.COMPLETED);
			assertThat(interactive.isGranted(), is(true));
			assertThat(bulk.decisionCount(), equalTo(0));
		}

		@Test
		void shedsTheNewestOfTheLowestTier() {
			this.fixture.submit(Tier.INTERACTIVE);
			RecordingListener older = this.fixture.submit(Tier.BULK);
			RecordingListener newer = this.fixture.submit(Tier.BULK);
			for (int count = 0; count < 3; count++) {
				this.fixture.submit(Tier.STANDARD);
			}
			assertThat(newer.refusal(), equalTo(ErrorKind.SHED));
			assertThat(older.decisionCount(), equalTo(0));
		}

		@Test
		void refusesTheLowestTierWhenItsQueueIsFull() {
			this.fixture.submit(Tier.INTERACTIVE);
			this.fixture.submit(Tier.BULK);
			this.fixture.submit(Tier.BULK);
			assertThat(this.fixture.submit(Tier.BULK).refusal(), equalTo(ErrorKind.QUEUE_FULL));
		}

		@Test
		void doesNotRefuseTheHighestTierWhenTheQueueIsFull() {
			for (int count = 0; count < 20; count++) {
				assertThat(this.fixture.submit(Tier.INTERACTIVE).refusal(), nullValue());
			}
		}

		@Test
		void dispatchesAnAgedRequestBeforeHigherTiers() {
			RecordingListener running = this.fixture.submit(Tier.INTERACTIVE);
			RecordingListener bulk = this.fixture.submit(Tier.BULK);
			this.fixture.advanceMillis(11_000);
			RecordingListener interactive = this.fixture.submit(Tier.INTERACTIVE);
			running.grant().release(AttemptResult.COMPLETED);
			assertThat(bulk.isGranted(), is(true));
			assertThat(interactive.decisionCount(), equalTo(0));
		}

		@Test
		void refusesARequestAtItsDeadline() {
			this.fixture.submit(Tier.INTERACTIVE);
			RecordingListener listener = new RecordingListener();
			Limits limits = new Limits(null, null, null, 0.5, null, null);
			this.fixture.controller.submit(this.fixture.attributes(Tier.BULK, "brutarie", limits), listener);
			this.fixture.advanceMillis(499);
			assertThat(listener.decisionCount(), equalTo(0));
			this.fixture.advanceMillis(2);
			assertThat(listener.refusal(), equalTo(ErrorKind.DEADLINE_EXCEEDED));
		}

	}

	@Nested
	class WhenALongStreamHoldsTheSlot {

		private final PolicyFixture fixture = new PolicyFixture(PolicyFixture.settings("tiers", 1, 10), 1, 1);

		@Test
		void preemptsItForAHigherTierAndResumesItNext() {
			RecordingListener bulk = new RecordingListener();
			Ticket ticket = this.fixture.submit(Tier.BULK, bulk);
			bulk.grant().recordFirstToken();
			bulk.grant().recordTokens(100);
			RecordingListener interactive = this.fixture.submit(Tier.INTERACTIVE);
			assertThat(bulk.preemptionCount(), equalTo(1));
			bulk.grant().release(AttemptResult.PREEMPTED);
			assertThat(interactive.isGranted(), is(true));
			RecordingListener later = this.fixture.submit(Tier.BULK);
			RecordingListener resumed = new RecordingListener();
			assertThat(ticket.retry(RetryReason.PREEMPTED, resumed), equalTo(RetryDecision.GRANTED));
			interactive.grant().release(AttemptResult.COMPLETED);
			assertThat(resumed.isGranted(), is(true));
			assertThat(resumed.grant().attempt(), greaterThan(1));
			assertThat(later.decisionCount(), equalTo(0));
		}

	}

}
