package org.cyclamenstall.test.claims;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.cyclamenstall.claims.Claim;
import org.cyclamenstall.claims.ClaimDecision;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.junit.ChoiceExplorer;
import org.cyclamenstall.junit.StoreCall;
import org.cyclamenstall.junit.StoreFault;
import org.cyclamenstall.junit.StoreOperation;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Submits one request with an idempotency key on two hosts, under every placement of a
 * limited number of store and peer faults, and verifies that the request is never
 * executed twice.
 */
class ClaimExplorationTests {

	private static final List<StoreFault> WRITE_FAULTS = List.of(StoreFault.NONE, StoreFault.RESPONSE_LOST,
			StoreFault.WRITE_DELAYED, StoreFault.REQUEST_LOST, StoreFault.UNAVAILABLE, StoreFault.CONFLICT);

	private static final List<StoreFault> READ_FAULTS = List.of(StoreFault.NONE, StoreFault.UNAVAILABLE);

	@Nested
	class WhenNoClaimantIsKilled {

		@Test
		void theRequestIsExecutedOnceWithTwoFaults() {
			long runs = new ChoiceExplorer().exploreAll((choices) -> {
				Scenario scenario = new Scenario(choices, 2, 0);
				scenario.run(3, false);
				scenario.assertExecutedOnceAndReplayed();
			});
			assertThat(runs, greaterThan(1_000L));
		}

		@Test
		void theRequestIsExecutedOnceWithASubmissionOrAPauseDuringAStoreCall() {
			long runs = new ChoiceExplorer().exploreAll((choices) -> {
				Scenario scenario = new Scenario(choices, 1, 1);
				scenario.run(2, false);
				scenario.assertExecutedOnceAndReplayed();
			});
			assertThat(runs, greaterThan(1_000L));
		}

	}

	@Nested
	class WhenAClaimantIsKilled {

		@Test
		void theRequestIsExecutedAtMostOnce() {
			long runs = new ChoiceExplorer().exploreAll((choices) -> {
				Scenario scenario = new Scenario(choices, 1, 0);
				scenario.run(4, true);
				scenario.assertExecutedAtMostOnce();
			});
			assertThat(runs, greaterThan(1_000L));
		}

	}

	/**
	 * Runs one sequence of steps.
	 */
	private static final class Scenario {

		private final ChoiceExplorer choices;

		private final ClaimTestCluster cluster = new ClaimTestCluster("gara-1", "gara-2");

		private final Deque<Claim> heldClaims = new ArrayDeque<>();

		private int remainingFaults;

		private int remainingInterleavings;

		Scenario(ChoiceExplorer choices, int remainingFaults, int remainingInterleavings) {
			this.choices = choices;
			this.remainingFaults = remainingFaults;
			this.remainingInterleavings = remainingInterleavings;
			this.cluster.store().setFaultPlan(this::chooseFault);
			this.cluster.store().setBeforeOperationHook((call) -> interleaveAction());
			this.cluster.store().setAfterOperationHook((call) -> interleaveAction());
			this.cluster.setPeersUnresponsive(this::choosePeerUnresponsive);
		}

		void run(int steps, boolean withRestarts) {
			submit("gara-1");
			for (int step = 1; step < steps; step++) {
				step(withRestarts);
			}
		}

		void assertExecutedAtMostOnce() {
			disableFaults();
			this.heldClaims.forEach(this.cluster::execute);
			submit("gara-1");
			submit("gara-2");
			this.cluster.settleAll();
			assertThat(this.cluster.executions().size(), lessThanOrEqualTo(1));
		}

		void assertExecutedOnceAndReplayed() {
			disableFaults();
			this.heldClaims.forEach(this.cluster::execute);
			this.cluster.settleAll();
			this.cluster.settleAll();
			assertExecutedOrReplayed("gara-2");
			assertThat(this.cluster.executions(), hasSize(1));
			assertThat(this.cluster.submit("gara-1"), instanceOf(ClaimDecision.Replayed.class));
			this.cluster.settleAll();
			assertThat(this.cluster.submit("gara-2"), instanceOf(ClaimDecision.Replayed.class));
			assertThat(this.cluster.registry("gara-1").settleAll(), is(0));
			assertThat(this.cluster.registry("gara-2").settleAll(), is(0));
		}

		private void assertExecutedOrReplayed(String host) {
			ClaimDecision decision = this.cluster.submit(host);
			if (decision instanceof ClaimDecision.Granted granted) {
				assertThat(this.cluster.execute(granted.claim()), is(true));
			}
			else {
				assertThat(decision, instanceOf(ClaimDecision.Replayed.class));
			}
		}

		private void disableFaults() {
			this.remainingFaults = 0;
			this.remainingInterleavings = 0;
			this.cluster.store().applyDelayedWrites();
		}

		private void step(boolean withRestarts) {
			switch (this.choices.choose(withRestarts ? 7 : 6)) {
				case 0 -> submit("gara-1");
				case 1 -> submit("gara-2");
				case 2 -> this.cluster.settleAll();
				case 3 -> this.cluster.store().applyDelayedWrites();
				case 4 -> this.cluster.advanceBeyondMaximumAge();
				case 5 -> executeHeldClaim();
				default -> this.cluster.restart("gara-1");
			}
		}

		private void submit(String host) {
			ClaimDecision decision = this.cluster.submit(host);
			if (decision instanceof ClaimDecision.Granted granted) {
				processClaim(granted.claim());
			}
			else if (decision instanceof ClaimDecision.Replayed) {
				assertThat(this.cluster.executions(), hasSize(1));
			}
		}

		private void processClaim(Claim claim) {
			switch (this.choices.choose(4)) {
				case 0 -> this.cluster.execute(claim);
				case 1 -> this.heldClaims.add(claim);
				case 2 -> {
					claim.abandon();
					this.heldClaims.add(claim);
				}
				default -> {
					claim.beginSending();
					claim.recordNotExecuted();
					this.heldClaims.add(claim);
				}
			}
		}

		private void executeHeldClaim() {
			if (!this.heldClaims.isEmpty()) {
				this.cluster.execute(this.heldClaims.remove());
			}
		}

		private StoreFault chooseFault(StoreCall call) {
			if (this.remainingFaults == 0) {
				return StoreFault.NONE;
			}
			boolean isRead = call.operation() == StoreOperation.GET;
			StoreFault fault = this.choices.choose(isRead ? READ_FAULTS : WRITE_FAULTS);
			this.remainingFaults -= (fault != StoreFault.NONE) ? 1 : 0;
			return fault;
		}

		private boolean choosePeerUnresponsive() {
			boolean peerUnresponsive = this.remainingFaults > 0 && this.choices.choose(2) == 1;
			this.remainingFaults -= peerUnresponsive ? 1 : 0;
			return peerUnresponsive;
		}

		// Submits the request again or lets the claims become too old, between two steps
		// of a store call.
		private void interleaveAction() {
			if (this.remainingInterleavings == 0) {
				return;
			}
			int choice = this.choices.choose(4);
			this.remainingInterleavings -= (choice > 0) ? 1 : 0;
			switch (choice) {
				case 1 -> submit("gara-1");
				case 2 -> submit("gara-2");
				case 3 -> this.cluster.advanceBeyondMaximumAge();
				default -> {
				}
			}
		}

	}

	@Nested
	class WhenTheStoreIsDown {

		@Test
		void theRequestIsRefusedUntilTheStoreIsAvailable() {
			ClaimTestCluster cluster = new ClaimTestCluster("gara-1");
			cluster.store().setFault(StoreFault.UNAVAILABLE);
			assertThat(((ClaimDecision.Refused) cluster.submit("gara-1")).kind(),
					is(ErrorKind.CLAIM_STORE_UNAVAILABLE));
			cluster.store().setFault(StoreFault.NONE);
			assertThat(cluster.submit("gara-1"), instanceOf(ClaimDecision.Granted.class));
		}

	}

}
