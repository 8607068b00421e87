package org.cyclamenstall.junit.matrix;

import java.time.Duration;
import java.util.List;
import java.util.Locale;

import org.cyclamenstall.junit.TestSite;
import org.cyclamenstall.standin.faultproxy.Direction;
import org.cyclamenstall.standin.faultproxy.FaultAction;
import org.cyclamenstall.standin.faultproxy.FaultRule;
import org.cyclamenstall.standin.http.Availability;
import org.cyclamenstall.standin.platform.StoreFaults;
import org.cyclamenstall.standin.site.ConditionWaiter;

/**
 * Defines the faults of the matrix. A fault affects daemon 0, the store, or the network
 * path on which the step is held. Each fault also releases or drops the held bytes.
 */
public enum Fault {

	/** No fault: the held bytes are released. */
	NONE {
		@Override
		void inject(TestSite site, HeldStep heldStep) {
			heldStep.release();
		}
	},

	/** Kills the daemon process, then releases the held bytes. */
	KILL {
		@Override
		void inject(TestSite site, HeldStep heldStep) {
			site.daemon(0).process().kill();
			heldStep.release();
		}
	},

	/**
	 * Suspends the daemon process for twice the maximum claim age, then resumes it. The
	 * held bytes are released while it is suspended.
	 */
	FREEZE {
		@Override
		void inject(TestSite site, HeldStep heldStep) {
			site.daemon(0).process().suspend();
			heldStep.release();
			waitFor(SUSPENSION_TIME);
			site.daemon(0).process().resume();
		}
	},

	/** Resets the connections on the path and new ones until the site is restored. */
	CUT {
		@Override
		void inject(TestSite site, HeldStep heldStep) {
			heldStep.path().forEach((proxy) -> proxy.resetUntilRestored());
			heldStep.release();
		}
	},

	/** Discards requests on the path and forwards responses. */
	REQUESTS_CUT {
		@Override
		void inject(TestSite site, HeldStep heldStep) {
			discardDirection(heldStep, Direction.REQUEST);
		}
	},

	/** Discards responses on the path and forwards requests. */
	ANSWERS_CUT {
		@Override
		void inject(TestSite site, HeldStep heldStep) {
			discardDirection(heldStep, Direction.RESPONSE);
		}
	},

	/** Releases the held bytes only after the store timeout has expired. */
	DELAY {
		@Override
		void inject(TestSite site, HeldStep heldStep) {
			waitFor(LONGER_THAN_STORE_TIMEOUT);
			heldStep.release();
		}
	},

	/**
	 * Resets the connection instead of forwarding the next response on the path, so that
	 * a request takes effect without a response.
	 */
	ANSWER_LOST {
		@Override
		void inject(TestSite site, HeldStep heldStep) {
			FaultRule resetResponse = FaultRule.on(Direction.RESPONSE, FaultAction.RESET).times(1).build();
			heldStep.path().forEach((proxy) -> proxy.addRule(resetResponse));
			heldStep.release();
		}
	},

	/** Resets the open connections on the path. */
	RESET {
		@Override
		void inject(TestSite site, HeldStep heldStep) {
			heldStep.path().forEach((proxy) -> proxy.resetConnections());
			heldStep.release();
		}
	},

	/** Half-closes the response direction of one connection on the path. */
	HALF_CLOSED {
		@Override
		void inject(TestSite site, HeldStep heldStep) {
			FaultRule halfClose = FaultRule.on(Direction.RESPONSE, FaultAction.HALF_CLOSE).times(1).build();
			heldStep.path().forEach((proxy) -> proxy.addRule(halfClose));
			heldStep.release();
		}
	},

	/** Makes the store refuse connections. */
	STORE_OUTAGE {
		@Override
		void inject(TestSite site, HeldStep heldStep) {
			site.site().store().setFaults(new StoreFaults(Availability.REFUSING, null, null, null, null, null));
			heldStep.release();
		}
	},

	/** Isolates the daemon from its peers until the site is restored. */
	PEERS_CUT {
		@Override
		void inject(TestSite site, HeldStep heldStep) {
			site.site().isolateFromPeers(0);
			heldStep.release();
		}
	};

	private static final Duration SUSPENSION_TIME = Duration.ofMillis(2L * TestSite.MAXIMUM_CLAIM_AGE_MILLIS);

	private static final Duration LONGER_THAN_STORE_TIMEOUT = Duration.ofMillis(1_300);

	/** The pairs of faults that are combined. The first of a pair is injected first. */
	public static final List<List<Fault>> PAIRS = List.of(List.of(STORE_OUTAGE, KILL), List.of(STORE_OUTAGE, FREEZE),
			List.of(PEERS_CUT, FREEZE), List.of(ANSWER_LOST, PEERS_CUT), List.of(ANSWER_LOST, STORE_OUTAGE),
			List.of(RESET, KILL), List.of(PEERS_CUT, RESET));

	abstract void inject(TestSite site, HeldStep heldStep);

	/**
	 * Returns the label of the fault in the table.
	 * @return the constant name in lower case with hyphens
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	private static void discardDirection(HeldStep heldStep, Direction direction) {
		heldStep.path().forEach((proxy) -> proxy.addRule(FaultRule.on(direction, FaultAction.DISCARD).build()));
		if (heldStep.rules().stream().allMatch((rule) -> rule.direction() == direction)) {
			heldStep.drop();
		}
		else {
			heldStep.release();
		}
	}

	private static void waitFor(Duration duration) {
		long deadlineNanos = System.nanoTime() + duration.toNanos();
		ConditionWaiter.await(() -> System.nanoTime() - deadlineNanos > 0, () -> "monotonic clock did not advance");
	}

}
