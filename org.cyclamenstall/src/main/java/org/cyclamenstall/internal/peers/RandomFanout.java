package org.cyclamenstall.internal.peers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Selects a fixed number of peers per round, so that the cost of a round does not grow
 * with the number of daemons. The peers are taken in order from a shuffled list of all of
 * them, which is refilled only when it is empty, so that each peer is selected regularly.
 * Not thread-safe.
 */
public final class RandomFanout implements PeerSelection {

	private final int fanout;

	private final UniformRandomProvider random;

	private final Deque<String> remaining = new ArrayDeque<>();

	/**
	 * Creates a selection.
	 * @param fanout the number of peers per round, at least one
	 * @param random the random number generator for shuffling
	 */
	public RandomFanout(int fanout, UniformRandomProvider random) {
		this.fanout = fanout;
		this.random = random;
	}

	@Override
	public List<String> select(List<String> hosts) {
		Set<String> candidates = new HashSet<>(hosts);
		List<String> selected = new ArrayList<>();
		int count = Math.min(this.fanout, candidates.size());
		while (selected.size() < count) {
			if (this.remaining.isEmpty()) {
				refill(hosts);
			}
			String next = this.remaining.remove();
			if (candidates.remove(next)) {
				selected.add(next);
			}
		}
		return selected;
	}

	private void refill(List<String> hosts) {
		List<String> names = new ArrayList<>(hosts);
		for (int last = names.size() - 1; last > 0; last--) {
			int other = this.random.nextInt(last + 1);
			names.set(last, names.set(other, names.get(last)));
		}
		this.remaining.addAll(names);
	}

}
