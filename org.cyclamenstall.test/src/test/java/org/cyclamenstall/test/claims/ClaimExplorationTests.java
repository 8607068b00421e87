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
 * Explores presses of one named request on two hosts under every placement of a bounded
 * number of faults, and asserts that the request never runs twice.
 */
class ClaimExplorationTests {

	private static final List<StoreFault> WRITE_FAULTS = List.of(StoreFault.NONE, StoreFault.ANSWER_LOST,
			StoreFault.EFFECT_LATE, StoreFault.REQUEST_LOST, StoreFault.UNAVAILABLE, StoreFault.CONFLICT);

	private static final List<StoreFault> READ_FAULTS = List.of(StoreFault.NONE, StoreFault.UNAVAILABLE);

	@Nested
	class WhenTheClaimantsLive {

		@Test
		void theRequestRunsOnceUnderTwoFaults() {
			long runs = new ChoiceExplorer().exploreAll((choices) -> {
				Scenario scenario = new Scenario(choices, 2, 0);
				scenario.run(3, false);
				scenario.assertSettled();
			});
			assertThat(runs, greaterThan(1_000L));
		}

		@Test
		void theRequestRunsOnceWithAPressOrAPauseInsideAPress() {
			long runs = new ChoiceExplorer().exploreAll((choices) -> {
				Scenario scenario = new Scenario(choices, 1, 1);
				scenario.run(2, false);
				scenario.assertSettled();
			});
			assertThat(runs, greaterThan(1_000L));
		}

	}

	@Nested
	class WhenAClaimantIsKilled {

		@Test
		void theRequestRunsAtMostOnce() {
			long runs = new ChoiceExplorer().exploreAll((choices) -> {
				Scenario scenario = new Scenario(choices, 1, 0);
				scenario.run(4, true);
				scenario.assertAtMostOnce();
			});
			assertThat(runs, greaterThan(1_000L));
		}

	}

	/**
	 * Plays one sequence of steps.
	 */
	private static final class Scenario {

		private final ChoiceExplorer choices;

		private final ClaimSite site = new ClaimSite("gara-1", "gara-2");

		private final Deque<Claim> held = new ArrayDeque<>();

		private int faults;

		private int interruptions;

		Scenario(ChoiceExplorer choices, int faults, int interruptions) {
			this.choices = choices;
			this.faults = faults;
			this.interruptions = interruptions;
			this.site.store().setPlan(this::fault);
			this.site.store().setBeforeEffect((call) -> interrupt());
			this.site.store().setAfterEffect((call) -> interrupt());
			this.site.setPeerSilence(this::silent);
		}

		void run(int steps, boolean kill) {
			press("gara-1");
			for (int step = 1; step < steps; step++) {
				step(kill);
			}
		}

		void assertAtMostOnce() {
			heal();
			this.held.forEach(this.site::execute);
			press("gara-1");
			press("gara-2");
			this.site.settleAll();
			assertThat(this.site.executions().size(), lessThanOrEqualTo(1));
		}

		void assertSettled() {
			heal();
			this.held.forEach(this.site::execute);
			this.site.settleAll();
			this.site.settleAll();
			finish("gara-2");
			assertThat(this.site.executions(), hasSize(1));
			assertThat(this.site.press("gara-1"), instanceOf(ClaimDecision.Replayed.class));
			this.site.settleAll();
			assertThat(this.site.press("gara-2"), instanceOf(ClaimDecision.Replayed.class));
			assertThat(this.site.registry("gara-1").settleAll(), is(0));
			assertThat(this.site.registry("gara-2").settleAll(), is(0));
		}

		private void finish(String host) {
			ClaimDecision decision = this.site.press(host);
			if (decision instanceof ClaimDecision.Granted granted) {
				assertThat(this.site.execute(granted.claim()), is(true));
			}
			else {
				assertThat(decision, instanceOf(ClaimDecision.Replayed.class));
			}
		}

		private void heal() {
			this.faults = 0;
			this.interruptions = 0;
			this.site.store().applyLateWrites();
		}

		private void step(boolean kill) {
			switch (this.choices.choose(kill ? 7 : 6)) {
				case 0 -> press("gara-1");
				case 1 -> press("gara-2");
				case 2 -> this.site.settleAll();
				case 3 -> this.site.store().applyLateWrites();
				case 4 -> this.site.passMaximumAge();
				case 5 -> resumeHeld();
				default -> this.site.restart("gara-1");
			}
		}

		private void press(String host) {
			ClaimDecision decision = this.site.press(host);
			if (decision instanceof ClaimDecision.Granted granted) {
				use(granted.claim());
			}
			else if (decision instanceof ClaimDecision.Replayed) {
				assertThat(this.site.executions(), hasSize(1));
			}
		}

		private void use(Claim claim) {
			switch (this.choices.choose(4)) {
				case 0 -> this.site.execute(claim);
				case 1 -> this.held.add(claim);
				case 2 -> {
					claim.abandon();
					this.held.add(claim);
				}
				default -> {
					claim.beginSending();
					claim.provedNotRun();
					this.held.add(claim);
				}
			}
		}

		private void resumeHeld() {
			if (!this.held.isEmpty()) {
				this.site.execute(this.held.remove());
			}
		}

		private StoreFault fault(StoreCall call) {
			if (this.faults == 0) {
				return StoreFault.NONE;
			}
			boolean read = call.operation() == StoreOperation.GET;
			StoreFault fault = this.choices.choose(read ? READ_FAULTS : WRITE_FAULTS);
			this.faults -= (fault != StoreFault.NONE) ? 1 : 0;
			return fault;
		}

		private boolean silent() {
			boolean silent = this.faults > 0 && this.choices.choose(2) == 1;
			this.faults -= silent ? 1 : 0;
			return silent;
		}

		private void interrupt() {
			if (this.interruptions == 0) {
				return;
			}
			int choice = this.choices.choose(4);
			this.interruptions -= (choice > 0) ? 1 : 0;
			switch (choice) {
				case 1 -> press("gara-1");
				case 2 -> press("gara-2");
				case 3 -> this.site.passMaximumAge();
				default -> {
				}
			}
		}

	}

	@Nested
	class WhenTheStoreIsDown {

		@Test
		void theRequestIsRefusedUntilTheStoreIsBack() {
			ClaimSite site = new ClaimSite("gara-1");
			site.store().setFault(StoreFault.UNAVAILABLE);
			assertThat(((ClaimDecision.Refused) site.press("gara-1")).kind(), is(ErrorKind.CLAIM_STORE_UNAVAILABLE));
			site.store().setFault(StoreFault.NONE);
			assertThat(site.press("gara-1"), instanceOf(ClaimDecision.Granted.class));
		}

	}

}
