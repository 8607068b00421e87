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
 * Simulates the propagation of one catalogue change from one daemon to all others, using
 * only the peer selection. A daemon that receives the change immediately pushes it to its
 * selected peers. In addition, every daemon exchanges with its selected peers once per
 * round, which transfers the change in either direction. Some daemons are unreachable,
 * which the others have not detected yet. An instance runs once, on one thread.
 */
final class PropagationSimulation {

	private static final double ONE_WAY_LATENCY_MILLIS = 5;

	private static final int MAXIMUM_ROUNDS = 100;

	private final int daemons;

	private final int roundMillis;

	private final UniformRandomProvider random;

	private final BitSet unreachable = new BitSet();

	private final BitSet informed = new BitSet();

	private final List<PeerSelection> selections = new ArrayList<>();

	private final List<List<String>> peers = new ArrayList<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::atMillis));

	private long messages;

	/**
	 * Creates a simulation.
	 * @param daemons the number of daemons
	 * @param unreachablePercent the percentage of daemons that are unreachable; the first
	 * daemon, which has the change, is always reachable
	 * @param fanout the number of peers that a daemon selects; 0 to select all peers
	 * @param roundMillis the interval between two rounds, in milliseconds
	 * @param seed the seed of the random number generators
	 */
	PropagationSimulation(int daemons, int unreachablePercent, int fanout, int roundMillis, long seed) {
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
	 * Runs the simulation until every reachable daemon has the change.
	 * @return the simulated time from the change at the first daemon, in milliseconds
	 */
	double runUntilAllInformed() {
		receiveChange(0, 0);
		int reachable = this.daemons - this.unreachable.cardinality();
		double now = 0;
		while (this.informed.cardinality() < reachable) {
			Event event = this.events.remove();
			now = event.atMillis();
			if (now > (double) MAXIMUM_ROUNDS * this.roundMillis) {
				throw new IllegalStateException("The change did not reach all reachable daemons");
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
			receiveChange(event.daemon(), event.atMillis());
		}
		else {
			exchange(event.daemon(), event.atMillis());
			this.events.add(new Event(event.atMillis() + this.roundMillis, event.daemon(), false));
		}
	}

	private void receiveChange(int daemon, double now) {
		if (this.unreachable.get(daemon) || this.informed.get(daemon)) {
			return;
		}
		this.informed.set(daemon);
		for (String peer : this.selections.get(daemon).select(this.peers.get(daemon))) {
			this.messages++;
			this.events.add(new Event(now + ONE_WAY_LATENCY_MILLIS, Integer.parseInt(peer), true));
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
				int uninformedDaemon = this.informed.get(daemon) ? peer : daemon;
				this.events.add(new Event(now + 2 * ONE_WAY_LATENCY_MILLIS, uninformedDaemon, true));
			}
		}
	}

	/**
	 * Simulated event: either a daemon starts a round, or the change arrives at a daemon.
	 *
	 * @param atMillis the simulated time in milliseconds
	 * @param daemon the index of the daemon
	 * @param arrival {@code true} if the change arrives, {@code false} if a round starts
	 */
	private record Event(double atMillis, int daemon, boolean arrival) {
	}

}
