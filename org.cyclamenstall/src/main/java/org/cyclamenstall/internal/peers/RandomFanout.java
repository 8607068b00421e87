package org.cyclamenstall.internal.peers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Chooses a fixed number of peers in each round by walking through a shuffle of all of
 * them, so that each is chosen once before any is chosen again. The cost of a round does
 * not grow with the number of daemons. Not thread-safe.
 */
public final class RandomFanout implements PeerSelection {

	private final int fanout;

	private final UniformRandomProvider random;

	private final Deque<String> shuffled = new ArrayDeque<>();

	/**
	 * Creates a selection.
	 * @param fanout the number of peers in a round, at least one
	 * @param random the source of the shuffle
	 */
	public RandomFanout(int fanout, UniformRandomProvider random) {
		this.fanout = fanout;
		this.random = random;
	}

	@Override
	public List<String> select(List<String> hosts) {
		Set<String> present = new HashSet<>(hosts);
		List<String> chosen = new ArrayList<>();
		int wanted = Math.min(this.fanout, present.size());
		while (chosen.size() < wanted) {
			if (this.shuffled.isEmpty()) {
				refill(hosts);
			}
			String next = this.shuffled.remove();
			if (present.remove(next)) {
				chosen.add(next);
			}
		}
		return chosen;
	}

	private void refill(List<String> hosts) {
		List<String> names = new ArrayList<>(hosts);
		for (int last = names.size() - 1; last > 0; last--) {
			int other = this.random.nextInt(last + 1);
			names.set(last, names.set(other, names.get(last)));
		}
		this.shuffled.addAll(names);
	}

}
