package org.cyclamenstall.test.claims;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import org.cyclamenstall.claims.Claim;
import org.cyclamenstall.claims.ClaimDecision;
import org.cyclamenstall.claims.StoredAnswer;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.junit.StoreFault;
import org.cyclamenstall.junit.StoreOperation;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link org.cyclamenstall.internal.claims.StoreClaimRegistry}.
 */
class StoreClaimRegistryTests {

	private final ClaimSite site = new ClaimSite("gara-1", "gara-2");

	private Claim granted(String host) {
		ClaimDecision decision = this.site.press(host);
		assertThat(decision, instanceOf(ClaimDecision.Granted.class));
		return ((ClaimDecision.Granted) decision).claim();
	}

	private static ErrorKind refusal(ClaimDecision decision) {
		assertThat(decision, instanceOf(ClaimDecision.Refused.class));
		return ((ClaimDecision.Refused) decision).kind();
	}

	@Nested
	class WhenTheClaimantIsPaused {

		@Test
		void anOldClaimIsNotSentByTheMonotonicClock() {
			Claim claim = granted("gara-1");
			StoreClaimRegistryTests.this.site.clock()
				.advanceMonotonic(Duration.ofMillis(ClaimSite.MAXIMUM_AGE_MILLIS + 1));
			assertThat(claim.beginSending(), is(false));
			assertThat(claim.abandon(), is(true));
		}

		@Test
		void anOldClaimIsNotSentByTheWallClock() {
			Claim claim = granted("gara-1");
			StoreClaimRegistryTests.this.site.clock().advanceWall(Duration.ofMillis(ClaimSite.MAXIMUM_AGE_MILLIS + 1));
			assertThat(claim.beginSending(), is(false));
		}

		@Test
		void aWallClockThatIsSetBackHidesNoAge() {
			Claim claim = granted("gara-1");
			StoreClaimRegistryTests.this.site.clock().advanceWall(Duration.ofHours(-1));
			StoreClaimRegistryTests.this.site.clock()
				.advanceMonotonic(Duration.ofMillis(ClaimSite.MAXIMUM_AGE_MILLIS + 1));
			assertThat(claim.beginSending(), is(false));
		}

		@Test
		void anOtherHostTakesOverOnlyAfterTheClaimIsTooOld() {
			Claim claim = granted("gara-1");
			assertThat(refusal(StoreClaimRegistryTests.this.site.press("gara-2")),
					is(ErrorKind.IDEMPOTENCY_IN_PROGRESS));
			StoreClaimRegistryTests.this.site.passMaximumAge();
			Claim second = granted("gara-2");
			assertThat(claim.beginSending(), is(false));
			assertThat(second.beginSending(), is(true));
		}

		@Test
		void aClaimThatGrowsTooOldAtTheStoreIsRefused() {
			StoreClaimRegistryTests.this.site.store().setFault(StoreOperation.CREATE, StoreFault.REQUEST_LOST);
			StoreClaimRegistryTests.this.site.store()
				.setAfterEffect((call) -> StoreClaimRegistryTests.this.site.passMaximumAge());
			assertThat(refusal(StoreClaimRegistryTests.this.site.press("gara-1")),
					is(ErrorKind.CLAIM_STORE_UNAVAILABLE));
			assertThat(StoreClaimRegistryTests.this.site.store().calls(), hasSize(2));
		}

		@Test
		void aSilentClaimantIsNeverReplaced() {
			granted("gara-1");
			StoreClaimRegistryTests.this.site.setPeerSilence(() -> true);
			StoreClaimRegistryTests.this.site.passMaximumAge();
			assertThat(refusal(StoreClaimRegistryTests.this.site.press("gara-2")),
					is(ErrorKind.IDEMPOTENCY_OUTCOME_UNKNOWN));
		}

	}

	@Nested
	class WhenTheRequestIsSent {

		@Test
		void itCannotBeAbandoned() {
			Claim claim = granted("gara-1");
			assertThat(claim.beginSending(), is(true));
			assertThat(claim.abandon(), is(false));
			assertThat(claim.beginSending(), is(false));
		}

		@Test
		void anAbandonedOneIsNeverSent() {
			Claim claim = granted("gara-1");
			assertThat(claim.abandon(), is(true));
			assertThat(claim.beginSending(), is(false));
			claim.provedNotRun();
			assertThat(claim.beginSending(), is(false));
		}

		@Test
		void itCanBeSentAgainAfterProofThatItDidNotRun() {
			Claim claim = granted("gara-1");
			assertThat(claim.beginSending(), is(true));
			claim.provedNotRun();
			assertThat(claim.beginSending(), is(true));
		}

		@Test
		void anUnknownOutcomeStaysUnknownOnEveryHost() {
			Claim claim = granted("gara-1");
			claim.beginSending();
			claim.outcomeUnknown();
			for (int press = 0; press < 2; press++) {
				assertThat(refusal(StoreClaimRegistryTests.this.site.press("gara-1")),
						is(ErrorKind.IDEMPOTENCY_OUTCOME_UNKNOWN));
				assertThat(refusal(StoreClaimRegistryTests.this.site.press("gara-2")),
						is(ErrorKind.IDEMPOTENCY_OUTCOME_UNKNOWN));
				StoreClaimRegistryTests.this.site.settleAll();
			}
		}

		@Test
		void aClaimantThatIsKilledLeavesAnUnknownOutcome() {
			granted("gara-1").beginSending();
			StoreClaimRegistryTests.this.site.restart("gara-1");
			assertThat(refusal(StoreClaimRegistryTests.this.site.press("gara-1")),
					is(ErrorKind.IDEMPOTENCY_OUTCOME_UNKNOWN));
			assertThat(refusal(StoreClaimRegistryTests.this.site.press("gara-2")),
					is(ErrorKind.IDEMPOTENCY_OUTCOME_UNKNOWN));
		}

	}

	@Nested
	class WhenTheRequestRan {

		@Test
		void theAnswerIsReplayedWhileTheStoreTakesNoWrites() {
			StoreClaimRegistryTests.this.site.execute(granted("gara-1"));
			StoreClaimRegistryTests.this.site.store().setFault(StoreOperation.SWAP, StoreFault.UNAVAILABLE);
			StoreClaimRegistryTests.this.site.settleAll();
			ClaimDecision decision = StoreClaimRegistryTests.this.site.press("gara-2");
			assertThat(((ClaimDecision.Replayed) decision).answer().body(), is(ClaimSite.answer().body()));
		}

		@Test
		void theAnswerOutlivesTheClaimantOnceItIsWritten() {
			StoreClaimRegistryTests.this.site.execute(granted("gara-1"));
			StoreClaimRegistryTests.this.site.settleAll();
			StoreClaimRegistryTests.this.site.restart("gara-1");
			ClaimDecision decision = StoreClaimRegistryTests.this.site.press("gara-2");
			assertThat(((ClaimDecision.Replayed) decision).answer().body(), is(ClaimSite.answer().body()));
		}

		@Test
		void aLargeAnswerIsNotKeptAndTheRequestDoesNotRunAgain() {
			Claim claim = granted("gara-1");
			claim.beginSending();
			claim.complete(new StoredAnswer(200, "text/plain", new byte[1_001]));
			assertThat(refusal(StoreClaimRegistryTests.this.site.press("gara-2")),
					is(ErrorKind.IDEMPOTENCY_ANSWER_NOT_KEPT));
			StoreClaimRegistryTests.this.site.settleAll();
			assertThat(refusal(StoreClaimRegistryTests.this.site.press("gara-1")),
					is(ErrorKind.IDEMPOTENCY_ANSWER_NOT_KEPT));
		}

		@Test
		void anotherBodyUnderTheSameKeyIsRefused() {
			StoreClaimRegistryTests.this.site.execute(granted("gara-1"));
			assertThat(refusal(StoreClaimRegistryTests.this.site.press("gara-1", "other")),
					is(ErrorKind.IDEMPOTENCY_KEY_REUSED));
			StoreClaimRegistryTests.this.site.settleAll();
			assertThat(refusal(StoreClaimRegistryTests.this.site.press("gara-2", "other")),
					is(ErrorKind.IDEMPOTENCY_KEY_REUSED));
		}

		@Test
		void aStoreThatLostTheRecordGetsItFromTheClaimant() {
			StoreClaimRegistryTests.this.site.execute(granted("gara-1"));
			StoreClaimRegistryTests.this.site.store().restore(List.of());
			StoreClaimRegistryTests.this.site.settleAll();
			assertThat(StoreClaimRegistryTests.this.site.press("gara-2"), instanceOf(ClaimDecision.Replayed.class));
		}

	}

	@Nested
	class WhenTheAnswerOfTheStoreIsLost {

		@Test
		void theClaimIsReadBack() {
			StoreClaimRegistryTests.this.site.store().queueFault(StoreOperation.CREATE, StoreFault.ANSWER_LOST);
			assertThat(granted("gara-1").beginSending(), is(true));
		}

		@Test
		void anAbandonedClaimIsReplacedByTheNextPressElsewhere() {
			StoreClaimRegistryTests.this.site.store().queueFault(StoreOperation.CREATE, StoreFault.ANSWER_LOST);
			StoreClaimRegistryTests.this.site.store().queueFault(StoreOperation.GET, StoreFault.UNAVAILABLE);
			assertThat(refusal(StoreClaimRegistryTests.this.site.press("gara-1")),
					is(ErrorKind.CLAIM_STORE_UNAVAILABLE));
			assertThat(granted("gara-2").beginSending(), is(true));
		}

		@Test
		void aLateWriteOfAnAbandonedClaimIsShutOutOnceSettled() {
			StoreClaimRegistryTests.this.site.store().queueFault(StoreOperation.CREATE, StoreFault.EFFECT_LATE);
			StoreClaimRegistryTests.this.site.store().queueFault(StoreOperation.GET, StoreFault.UNAVAILABLE);
			assertThat(refusal(StoreClaimRegistryTests.this.site.press("gara-1")),
					is(ErrorKind.CLAIM_STORE_UNAVAILABLE));
			StoreClaimRegistryTests.this.site.settleAll();
			StoreClaimRegistryTests.this.site.restart("gara-1");
			StoreClaimRegistryTests.this.site.store().applyLateWrites();
			assertThat(granted("gara-2").beginSending(), is(true));
		}

	}

	@Nested
	class WhenManyPressAtOnce {

		@Test
		void oneIsGranted() throws Exception {
			ExecutorService threads = Executors.newFixedThreadPool(16);
			try {
				List<Future<ClaimDecision>> presses = new ArrayList<>();
				for (int press = 0; press < 64; press++) {
					String host = "gara-" + (press % 2 + 1);
					String requestId = "request-" + press;
					presses.add(threads
						.submit(() -> StoreClaimRegistryTests.this.site.pressWithRequestId(host, requestId)));
				}
				List<ClaimDecision> decisions = new ArrayList<>();
				for (Future<ClaimDecision> press : presses) {
					decisions.add(press.get());
				}
				assertThat(decisions.stream().filter(ClaimDecision.Granted.class::isInstance).toList(), hasSize(1));
			}
			finally {
				threads.shutdownNow();
			}
		}

	}

}
