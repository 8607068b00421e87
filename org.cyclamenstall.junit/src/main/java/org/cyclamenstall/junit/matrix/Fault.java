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
 * Lists the faults that strike daemon 0, or the way on which it is held at a step. A
 * fault lets the held bytes go on, or drops them, as it says.
 */
public enum Fault {

	/** No fault: the held bytes go on. */
	NONE {
		@Override
		void strike(TestSite site, HeldStep step) {
			step.release();
		}
	},

	/** The daemon is killed. */
	KILL {
		@Override
		void strike(TestSite site, HeldStep step) {
			site.daemon(0).process().kill();
			step.release();
		}
	},

	/** The daemon is stopped past every time-out and goes on. */
	FREEZE {
		@Override
		void strike(TestSite site, HeldStep step) {
			site.daemon(0).process().freeze();
			step.release();
			letPass(PAST_TIMEOUTS);
			site.daemon(0).process().thaw();
		}
	},

	/** The way is cut for good. */
	CUT {
		@Override
		void strike(TestSite site, HeldStep step) {
			step.path().forEach((proxy) -> proxy.cut());
			step.release();
		}
	},

	/** Requests on the way vanish, answers pass. */
	REQUESTS_CUT {
		@Override
		void strike(TestSite site, HeldStep step) {
			cutOneWay(step, Direction.REQUEST);
		}
	},

	/** Answers on the way vanish, requests pass. */
	ANSWERS_CUT {
		@Override
		void strike(TestSite site, HeldStep step) {
			cutOneWay(step, Direction.ANSWER);
		}
	},

	/** The held bytes come after the time-out of the store. */
	DELAY {
		@Override
		void strike(TestSite site, HeldStep step) {
			letPass(PAST_STORE_TIMEOUT);
			step.release();
		}
	},

	/** The next answer on the way is lost after its request took effect. */
	ANSWER_LOST {
		@Override
		void strike(TestSite site, HeldStep step) {
			FaultRule lost = FaultRule.on(Direction.ANSWER, FaultAction.RESET).times(1).build();
			step.path().forEach((proxy) -> proxy.add(lost));
			step.release();
		}
	},

	/** The open connections of the way are reset. */
	RESET {
		@Override
		void strike(TestSite site, HeldStep step) {
			step.path().forEach((proxy) -> proxy.resetConnections());
			step.release();
		}
	},

	/** The answering side of a connection is closed in an orderly way. */
	HALF_CLOSED {
		@Override
		void strike(TestSite site, HeldStep step) {
			FaultRule closed = FaultRule.on(Direction.ANSWER, FaultAction.HALF_CLOSE).times(1).build();
			step.path().forEach((proxy) -> proxy.add(closed));
			step.release();
		}
	},

	/** The store is down. */
	STORE_OUTAGE {
		@Override
		void strike(TestSite site, HeldStep step) {
			site.site().store().setFaults(new StoreFaults(Availability.REFUSING, null, null, null, null, null));
			step.release();
		}
	},

	/** The daemon is cut off from the others. */
	PEERS_CUT {
		@Override
		void strike(TestSite site, HeldStep step) {
			site.site().cutFromPeers(0);
			step.release();
		}
	};

	private static final Duration PAST_TIMEOUTS = Duration.ofMillis(2L * TestSite.CLAIM_AGE_MILLIS);

	private static final Duration PAST_STORE_TIMEOUT = Duration.ofMillis(1_300);

	/**
	 * Lists the pairs of faults that the matrix takes together; the first one strikes
	 * first.
	 */
	public static final List<List<Fault>> PAIRS = List.of(List.of(STORE_OUTAGE, KILL), List.of(STORE_OUTAGE, FREEZE),
			List.of(PEERS_CUT, FREEZE), List.of(ANSWER_LOST, PEERS_CUT), List.of(ANSWER_LOST, STORE_OUTAGE),
			List.of(RESET, KILL), List.of(PEERS_CUT, RESET));

	abstract void strike(TestSite site, HeldStep step);

	/**
	 * Returns the spelling used in the table.
	 * @return the label
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	private static void cutOneWay(HeldStep step, Direction direction) {
		step.path().forEach((proxy) -> proxy.add(FaultRule.on(direction, FaultAction.DISCARD).build()));
		if (step.rules().stream().allMatch((rule) -> rule.direction() == direction)) {
			step.drop();
		}
		else {
			step.release();
		}
	}

	private static void letPass(Duration duration) {
		long end = System.nanoTime() + duration.toNanos();
		ConditionWaiter.await(() -> System.nanoTime() - end > 0, () -> "time stands still");
	}

}
