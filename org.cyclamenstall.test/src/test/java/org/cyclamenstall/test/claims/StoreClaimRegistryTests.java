package org.cyclamenstall.test.claims;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import org.cyclamenstall.claims.Claim;
import org.cyclamenstall.claims.ClaimDecision;
import org.cyclamenstall.claims.StoredResponse;
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

	private final ClaimTestCluster cluster = new ClaimTestCluster("gara-1", "gara-2");

	private Claim acquireClaim(String host) {
		ClaimDecision decision = this.cluster.submit(host);
		assertThat(decision, instanceOf(ClaimDecision.Granted.class));
		return ((ClaimDecision.Granted) decision).claim();
	}

	private static ErrorKind refusalKind(ClaimDecision decision) {
		assertThat(decision, instanceOf(ClaimDecision.Refused.class));
		return ((ClaimDecision.Refused) decision).kind();
	}

	@Nested
	class WhenTheClaimantIsPaused {

		@Test
		void aClaimTooOldByTheMonotonicClockIsNotSent() {
			Claim claim = acquireClaim("gara-1");
			StoreClaimRegistryTests.this.cluster.clock()
				.advanceMonotonic(Duration.ofMillis(ClaimTestCluster.MAXIMUM_AGE_MILLIS + 1));
			assertThat(claim.beginSending(), is(false));
			assertThat(claim.abandon(), is(true));
		}

		@Test
		void aClaimTooOldByTheWallClockIsNotSent() {
			Claim claim = acquireClaim("gara-1");
			StoreClaimRegistryTests.this.cluster.clock()
				.advanceWall(Duration.ofMillis(ClaimTestCluster.MAXIMUM_AGE_MILLIS + 1));
			assertThat(claim.beginSending(), is(false));
		}

		@Test
		void aWallClockSetBackDoesNotMakeAClaimYounger() {
			Claim claim = acquireClaim("gara-1");
			StoreClaimRegistryTests.this.cluster.clock().advanceWall(Duration.ofHours(-1));
			StoreClaimRegistryTests.this.cluster.clock()
				.advanceMonotonic(Duration.ofMillis(ClaimTestCluster.MAXIMUM_AGE_MILLIS + 1));
			assertThat(claim.beginSending(), is(false));
		}

		@Test
		void anotherHostClaimsOnlyAfterTheClaimIsTooOld() {
			Claim claim = acquireClaim("gara-1");
			assertThat(refusalKind(StoreClaimRegistryTests.this.cluster.submit("gara-2")),
					is(ErrorKind.IDEMPOTENCY_IN_PROGRESS));
			StoreClaimRegistryTests.this.cluster.advanceBeyondMaximumAge();
			Claim secondClaim = acquireClaim("gara-2");
			assertThat(claim.beginSending(), is(false));
			assertThat(secondClaim.beginSending(), is(true));
		}

		@Test
		void aClaimThatBecomesTooOldWhileBeingStoredIsRefused() {
			StoreClaimRegistryTests.this.cluster.store().setFault(StoreOperation.CREATE, StoreFault.REQUEST_LOST);
			StoreClaimRegistryTests.this.cluster.store()
				.setAfterOperationHook((call) -> StoreClaimRegistryTests.this.cluster.advanceBeyondMaximumAge());
			assertThat(refusalKind(StoreClaimRegistryTests.this.cluster.submit("gara-1")),
					is(ErrorKind.CLAIM_STORE_UNAVAILABLE));
			assertThat(StoreClaimRegistryTests.this.cluster.store().calls(), hasSize(2));
		}

		@Test
		void aClaimOfAnUnresponsiveClaimantIsNeverReplaced() {
			acquireClaim("gara-1");
			StoreClaimRegistryTests.this.cluster.setPeersUnresponsive(() -> true);
			StoreClaimRegistryTests.this.cluster.advanceBeyondMaximumAge();
			assertThat(refusalKind(StoreClaimRegistryTests.this.cluster.submit("gara-2")),
					is(ErrorKind.IDEMPOTENCY_OUTCOME_UNKNOWN));
		}

	}

	@Nested
	class WhenTheRequestIsSent {

		@Test
		void itCannotBeAbandoned() {
			Claim claim = acquireClaim("gara-1");
			assertThat(claim.beginSending(), is(true));
			assertThat(claim.abandon(), is(false));
			assertThat(claim.beginSending(), is(false));
		}

		@Test
		void anAbandonedRequestIsNeverSent() {
			Claim claim = acquireClaim("gara-1");
			assertThat(claim.abandon(), is(true));
			assertThat(claim.beginSending(), is(false));
			claim.recordNotExecuted();
			assertThat(claim.beginSending(), is(false));
		}

		@Test
		void itCanBeSentAgainOnceProvenNotExecuted() {
			Claim claim = acquireClaim("gara-1");
			assertThat(claim.beginSending(), is(true));
			claim.recordNotExecuted();
			assertThat(claim.beginSending(), is(true));
		}

		@Test
		void anUnknownOutcomeStaysUnknownOnEveryHost() {
			Claim claim = acquireClaim("gara-1");
			claim.beginSending();
			claim.recordOutcomeUnknown();
			for (int repetition = 0; repetition < 2; repetition++) {
				assertThat(refusalKind(StoreClaimRegistryTests.this.cluster.submit("gara-1")),
						is(ErrorKind.IDEMPOTENCY_OUTCOME_UNKNOWN));
				assertThat(refusalKind(StoreClaimRegistryTests.this.cluster.submit("gara-2")),
						is(ErrorKind.IDEMPOTENCY_OUTCOME_UNKNOWN));
				StoreClaimRegistryTests.this.cluster.settleAll();
			}
		}

		@Test
		void theOutcomeIsUnknownAfterTheClaimantIsKilled() {
			acquireClaim("gara-1").beginSending();
			StoreClaimRegistryTests.this.cluster.restart("gara-1");
			assertThat(refusalKind(StoreClaimRegistryTests.this.cluster.submit("gara-1")),
					is(ErrorKind.IDEMPOTENCY_OUTCOME_UNKNOWN));
			assertThat(refusalKind(StoreClaimRegistryTests.this.cluster.submit("gara-2")),
					is(ErrorKind.IDEMPOTENCY_OUTCOME_UNKNOWN));
		}

	}

	@Nested
	class WhenTheRequestWasExecuted {

		@Test
		void theResponseIsReplayedWhileStoreWritesFail() {
			StoreClaimRegistryTests.this.cluster.execute(acquireClaim("gara-1"));
			StoreClaimRegistryTests.this.cluster.store().setFault(StoreOperation.SWAP, StoreFault.UNAVAILABLE);
			StoreClaimRegistryTests.this.cluster.settleAll();
			ClaimDecision decision = StoreClaimRegistryTests.this.cluster.submit("gara-2");
			assertThat(((ClaimDecision.Replayed) decision).response().body(), is(ClaimTestCluster.response().body()));
		}

		@Test
		void aStoredResponseIsReplayedAfterTheClaimantRestarts() {
			StoreClaimRegistryTests.this.cluster.execute(acquireClaim("gara-1"));
			StoreClaimRegistryTests.this.cluster.settleAll();
			StoreClaimRegistryTests.this.cluster.restart("gara-1");
			ClaimDecision decision = StoreClaimRegistryTests.this.cluster.submit("gara-2");
			assertThat(((ClaimDecision.Replayed) decision).response().body(), is(ClaimTestCluster.response().body()));
		}

		@Test
		void aLargeResponseIsNotRetainedAndTheRequestIsNotExecutedAgain() {
			Claim claim = acquireClaim("gara-1");
			claim.beginSending();
			claim.complete(new StoredResponse(200, "text/plain", new byte[1_001]));
			assertThat(refusalKind(StoreClaimRegistryTests.this.cluster.submit("gara-2")),
					is(ErrorKind.IDEMPOTENCY_ANSWER_NOT_KEPT));
			StoreClaimRegistryTests.this.cluster.settleAll();
			assertThat(refusalKind(StoreClaimRegistryTests.this.cluster.submit("gara-1")),
					is(ErrorKind.IDEMPOTENCY_ANSWER_NOT_KEPT));
		}

		@Test
		void anotherBodyUnderTheSameKeyIsRefused() {
			StoreClaimRegistryTests.this.cluster.execute(acquireClaim("gara-1"));
			assertThat(refusalKind(StoreClaimRegistryTests.this.cluster.submit("gara-1", "other")),
					is(ErrorKind.IDEMPOTENCY_KEY_REUSED));
			StoreClaimRegistryTests.this.cluster.settleAll();
			assertThat(refusalKind(StoreClaimRegistryTests.this.cluster.submit("gara-2", "other")),
					is(ErrorKind.IDEMPOTENCY_KEY_REUSED));
		}

		@Test
		void aLostRecordIsWrittenAgainByTheClaimant() {
			StoreClaimRegistryTests.this.cluster.execute(acquireClaim("gara-1"));
			StoreClaimRegistryTests.this.cluster.store().restore(List.of());
			StoreClaimRegistryTests.this.cluster.settleAll();
			assertThat(StoreClaimRegistryTests.this.cluster.submit("gara-2"), instanceOf(ClaimDecision.Replayed.class));
		}

	}

	@Nested
	class WhenTheResponseOfTheStoreIsLost {

		@Test
		void theClaimIsReadBack() {
			StoreClaimRegistryTests.this.cluster.store().queueFault(StoreOperation.CREATE, StoreFault.RESPONSE_LOST);
			assertThat(acquireClaim("gara-1").beginSending(), is(true));
		}

		@Test
		void anAbandonedClaimIsReplacedByAnotherHost() {
			StoreClaimRegistryTests.this.cluster.store().queueFault(StoreOperation.CREATE, StoreFault.RESPONSE_LOST);
			StoreClaimRegistryTests.this.cluster.store().queueFault(StoreOperation.GET, StoreFault.UNAVAILABLE);
			assertThat(refusalKind(StoreClaimRegistryTests.this.cluster.submit("gara-1")),
					is(ErrorKind.CLAIM_STORE_UNAVAILABLE));
			assertThat(acquireClaim("gara-2").beginSending(), is(true));
		}

		@Test
		void aLateWriteOfAnAbandonedClaimHasNoEffectOnceSettled() {
			StoreClaimRegistryTests.this.cluster.store().queueFault(StoreOperation.CREATE, StoreFault.WRITE_DELAYED);
			StoreClaimRegistryTests.this.cluster.store().queueFault(StoreOperation.GET, StoreFault.UNAVAILABLE);
			assertThat(refusalKind(StoreClaimRegistryTests.this.cluster.submit("gara-1")),
					is(ErrorKind.CLAIM_STORE_UNAVAILABLE));
			StoreClaimRegistryTests.this.cluster.settleAll();
			StoreClaimRegistryTests.this.cluster.restart("gara-1");
			StoreClaimRegistryTests.this.cluster.store().applyDelayedWrites();
			assertThat(acquireClaim("gara-2").beginSending(), is(true));
		}

	}

	@Nested
	class WhenRequestsAreConcurrent {

		@Test
		void onlyOneIsGranted() throws Exception {
			ExecutorService executor = Executors.newFixedThreadPool(16);
			try {
				List<Future<ClaimDecision>> submissions = new ArrayList<>();
				for (int index = 0; index < 64; index++) {
					String host = "gara-" + (index % 2 + 1);
					String requestId = "request-" + index;
					submissions.add(executor
						.submit(() -> StoreClaimRegistryTests.this.cluster.submitWithRequestId(host, requestId)));
				}
				List<ClaimDecision> decisions = new ArrayList<>();
				for (Future<ClaimDecision> submission : submissions) {
					decisions.add(submission.get());
				}
				assertThat(decisions.stream().filter(ClaimDecision.Granted.class::isInstance).toList(), hasSize(1));
			}
			finally {
				executor.shutdownNow();
			}
		}

	}

}
