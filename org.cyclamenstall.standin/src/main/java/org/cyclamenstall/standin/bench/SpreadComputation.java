package org.cyclamenstall.standin.bench;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.stream.IntStream;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenstall.internal.peers.AllPeers;
import org.cyclamenstall.internal.peers.PeerSelection;
import org.cyclamenstall.internal.peers.RandomFanout;

/**
 * Computes how one catalogue change spreads from one daemon to all, from the selections
 * of peers alone. A daemon that hears of the change pushes it at once to the peers that
 * its selection chooses, and every daemon exchanges with its chosen peers once a round,
 * which moves the change either way. Some daemons are unreachable, and the others do not
 * know it yet. Used once, by one thread.
 */
final class SpreadComputation {

	private static final double ONE_WAY_MILLIS = 5;

	private static final int LONGEST_ROUNDS = 100;

	private final int daemons;

	private final int roundMillis;

	private final UniformRandomProvider random;

	private final BitSet unreachable = new BitSet();

	private final BitSet informed = new BitSet();

	private final List<PeerSelection> selections = new ArrayList<>();

	private final List<List<String>> peers = new ArrayList<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::atMillis));

	private long messages;

	SpreadComputation(int daemons, int unreachablePercent, int fanout, int roundMillis, long seed) {
		this.daemons = daemons;
		this.roundMillis = roundMillis;
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		for (int daemon = 0; daemon < daemons; daemon++) {
			int self = daemon;
			this.peers
				.add(IntStream.range(0, daemons).filter((other) -> other != self).mapToObj(String::valueOf).toList());
			this.selections.add((fanout == 0) ? new AllPeers()
					: new RandomFanout(fanout, RandomSource.XO_RO_SHI_RO_128_PP.create(seed * daemons + daemon)));
			this.events.add(new Event(this.random.nextDouble() * roundMillis, daemon, false));
		}
		while (this.unreachable.cardinality() < daemons * unreachablePercent / 100) {
			this.unreachable.set(1 + this.random.nextInt(daemons - 1));
		}
	}

	/**
	 * Runs until every reachable daemon has the change.
	 * @return the time since the first daemon had it, in milliseconds
	 */
	double millisUntilAll() {
		inform(0, 0);
		int wanted = this.daemons - this.unreachable.cardinality();
		double now = 0;
		while (this.informed.cardinality() < wanted) {
			Event event = this.events.remove();
			now = event.atMillis();
			if (now > (double) LONGEST_ROUNDS * this.roundMillis) {
				throw new IllegalStateException("The change does not spread");
			}
			handle(event);
		}
		return now;
	}

	double messagesPerDaemon() {
		return (double) this.messages / this.daemons;
	}

	private void handle(Event event) {
		if (event.arrival()) {
			inform(event.daemon(), event.atMillis());
		}
		else {
			exchange(event.daemon(), event.atMillis());
			this.events.add(new Event(event.atMillis() + this.roundMillis, event.daemon(), false));
		}
	}

	private void inform(int daemon, double now) {
		if (this.unreachable.get(daemon) || this.informed.get(daemon)) {
			return;
		}
		this.informed.set(daemon);
		for (String peer : this.selections.get(daemon).select(this.peers.get(daemon))) {
			this.messages++;
			this.events.add(new Event(now + ONE_WAY_MILLIS, Integer.parseInt(peer), true));
		}
	}

	private void exchange(int daemon, double now) {
		if (this.unreachable.get(daemon)) {
			return;
		}
		for (String name : this.selections.get(daemon).select(this.peers.get(daemon))) {
			int peer = Integer.parseInt(name);
			if (!this.unreachable.get(peer) && this.informed.get(daemon) != this.informed.get(peer)) {
				this.messages++;
				int behind = this.informed.get(daemon) ? peer : daemon;
				this.events.add(new Event(now + 2 * ONE_WAY_MILLIS, behind, true));
			}
		}
	}

	/**
	 * Is a round of a daemon or the arrival of the change at one.
	 *
	 * @param atMillis when
	 * @param daemon the daemon
	 * @param arrival whether the change arrives
	 */
	private record Event(double atMillis, int daemon, boolean arrival) {
	}

}
