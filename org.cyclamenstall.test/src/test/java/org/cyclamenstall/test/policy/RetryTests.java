package org.cyclamenstall.test.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.policy.AttemptResult;
import org.cyclamenstall.policy.RetryDecision;
import org.cyclamenstall.policy.RetryReason;
import org.cyclamenstall.policy.Ticket;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

/**
 * Tests of retries and hedged attempts.
 */
class RetryTests {

	private final PolicyFixture fixture = new PolicyFixture(PolicyFixture.settings("tiers", 8, 100), 3, 1);

	@Nested
	class Retry {

		@Test
		void usesAnotherUpstream() {
			RecordingListener first = new RecordingListener();
			Ticket ticket = RetryTests.this.fixture.submit(Tier.STANDARD, first);
			first.grant().release(AttemptResult.REFUSED);
			RecordingListener second = new RecordingListener();
			assertThat(ticket.retry(RetryReason.REFUSED, second), equalTo(RetryDecision.GRANTED));
			RetryTests.this.fixture.advanceMillis(1_000);
			assertThat(second.grant().upstream(), not(equalTo(first.grant().upstream())));
		}

		@Test
		void isLimitedByTheRetryBudgetWhenEveryAttemptFails() {
			int requests = 1_000;
			int attempts = 0;
			for (int count = 0; count < requests; count++) {
				RecordingListener listener = new RecordingListener();
				Ticket ticket = RetryTests.this.fixture.submit(Tier.STANDARD, listener);
				RetryDecision decision = RetryDecision.GRANTED;
				while (decision == RetryDecision.GRANTED) {
					attempts++;
					listener.grant().release(AttemptResult.TIMED_OUT);
					listener = new RecordingListener();
					decision = ticket.retry(RetryReason.TIMED_OUT, listener);
					RetryTests.this.fixture.advanceMillis(61_000);
				}
				ticket.finish(0);
			}
			assertThat(attempts, lessThanOrEqualTo(requests * 12 / 10));
			assertThat(RetryTests.this.fixture.controller.unfinishedRequests(), equalTo(0));
		}

		@Test
		void isRejectedWhileTheRequestIsQueued() {
			RecordingListener first = new RecordingListener();
			Ticket ticket = RetryTests.this.fixture.submit(Tier.STANDARD, first);
			first.grant().release(AttemptResult.TIMED_OUT);
			RecordingListener second = new RecordingListener();
			RecordingListener third = new RecordingListener();
			assertThat(ticket.retry(RetryReason.TIMED_OUT, second), equalTo(RetryDecision.GRANTED));
			assertThat(ticket.retry(RetryReason.TIMED_OUT, third), equalTo(RetryDecision.ATTEMPTS_EXHAUSTED));
			RetryTests.this.fixture.advanceMillis(1_000);
			assertThat(second.decisionCount(), equalTo(1));
			assertThat(third.decisionCount(), equalTo(0));
		}

	}

	@Nested
	class WhenTheOnlyUpstreamIsFull {

		private final PolicyFixture full = new PolicyFixture(PolicyFixture.settings("tiers", 50, 100), 1, 1);

		private RecordingListener retryAfterRefusal(Ticket ticket, RecordingListener listener) {
			listener.grant().recordLoad(4, 4, 0);
			listener.grant().release(AttemptResult.REFUSED);
			RecordingListener retried = new RecordingListener();
			assertThat(ticket.retry(RetryReason.REFUSED, retried), equalTo(RetryDecision.GRANTED));
			return retried;
		}

		@Test
		void requestsStayQueuedUntilASlotIsFree() {
			List<RecordingListener> running = new ArrayList<>();
			List<RecordingListener> queued = new ArrayList<>();
			for (int count = 0; count < 50; count++) {
				RecordingListener listener = new RecordingListener();
				Ticket ticket = this.full.submit(Tier.INTERACTIVE, listener);
				if (count < 4) {
					running.add(listener);
				}
				else if (listener.decisionCount() > 0) {
					queued.add(retryAfterRefusal(ticket, listener));
				}
				else {
					queued.add(listener);
				}
			}
			this.full.advanceMillis(2_000);
			assertThat(queued.stream().mapToInt(RecordingListener::decisionCount).sum(), equalTo(0));
			running.forEach((listener) -> listener.grant().release(AttemptResult.COMPLETED));
			this.full.advanceMillis(2_000);
			assertThat(queued.stream().mapToInt(RecordingListener::decisionCount).sum(), equalTo(4));
		}

		@Test
		void repeatedRefusalsExhaustTheAttempts() {
			RecordingListener listener = new RecordingListener();
			Ticket ticket = this.full.submit(Tier.INTERACTIVE, listener);
			RetryDecision decision = RetryDecision.GRANTED;
			int attempts = 0;
			while (decision == RetryDecision.GRANTED && attempts < 100) {
				attempts++;
				listener.grant().release(AttemptResult.REFUSED);
				listener = new RecordingListener();
				decision = ticket.retry(RetryReason.REFUSED, listener);
				this.full.advanceMillis(2_000);
			}
			assertThat(decision, equalTo(RetryDecision.ATTEMPTS_EXHAUSTED));
		}

		@Test
		void aStartedStreamIsQueuedAgainAfterEveryRefusal() {
			RecordingListener listener = new RecordingListener();
			Ticket ticket = this.full.submit(Tier.BULK, listener);
			listener.grant().recordFirstToken();
			listener.grant().release(AttemptResult.PREEMPTED);
			listener = new RecordingListener();
			RetryDecision decision = ticket.retry(RetryReason.PREEMPTED, listener);
			int refusals = 0;
			while (decision == RetryDecision.GRANTED && refusals < 100) {
				this.full.advanceMillis(2_000);
				listener.grant().release(AttemptResult.REFUSED);
				refusals++;
				listener = new RecordingListener();
				decision = ticket.retry(RetryReason.REFUSED, listener);
			}
			assertThat(refusals, equalTo(100));
			assertThat(decision, equalTo(RetryDecision.GRANTED));
			this.full.advanceMillis(2_000);
			listener.grant().release(AttemptResult.COMPLETED);
			ticket.finish(1);
			assertThat(this.full.controller.unfinishedRequests(), equalTo(0));
		}

	}

	@Nested
	class Hedge {

		private void recordFirstTokenLatencies() {
			for (int count = 0; count < 30; count++) {
				RecordingListener listener = new RecordingListener();
				Ticket ticket = RetryTests.this.fixture.submit(Tier.INTERACTIVE, listener);
				RetryTests.this.fixture.advanceMillis(100);
				listener.grant().recordFirstToken();
				listener.grant().release(AttemptResult.COMPLETED);
				ticket.finish(1);
			}
		}

		@Test
		void waitsForTheTailLatencyAndAppliesToTheHighestTierOnly() {
			recordFirstTokenLatencies();
			Ticket interactive = RetryTests.this.fixture.submit(Tier.INTERACTIVE, new RecordingListener());
			Ticket bulk = RetryTests.this.fixture.submit(Tier.BULK, new RecordingListener());
			assertThat(interactive.hedgeDelay().orElseThrow().compareTo(Duration.ofMillis(99)) > 0, is(true));
			assertThat(bulk.hedgeDelay(), equalTo(Optional.empty()));
		}

		@Test
		void isGrantedImmediatelyOnAnotherUpstream() {
			recordFirstTokenLatencies();
			RecordingListener first = new RecordingListener();
			Ticket ticket = RetryTests.this.fixture.submit(Tier.INTERACTIVE, first);
			RecordingListener second = new RecordingListener();
			assertThat(ticket.hedge(second), equalTo(RetryDecision.GRANTED));
			assertThat(second.grant().upstream(), not(equalTo(first.grant().upstream())));
		}

		@Test
		void isRejectedWithoutAFreeSlot() {
			PolicyFixture full = new PolicyFixture(PolicyFixture.settings("tiers", 1, 10), 2, 1);
			Ticket ticket = full.submit(Tier.INTERACTIVE, new RecordingListener());
			full.submit(Tier.INTERACTIVE);
			RecordingListener hedge = new RecordingListener();
			assertThat(ticket.hedge(hedge), equalTo(RetryDecision.NO_UPSTREAM));
			assertThat(hedge.decisionCount(), equalTo(0));
		}

	}

}
