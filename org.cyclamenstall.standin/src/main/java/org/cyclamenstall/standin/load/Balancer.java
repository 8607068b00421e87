package org.cyclamenstall.standin.load;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.atomic.AtomicIntegerArray;

/**
 * Spreads requests over the daemons by weight, as the platform's balancer does, and
 * passes over those marked as lost. Thread-safe.
 */
final class Balancer {

	private final List<InetSocketAddress> daemons;

	private final List<Double> weights;

	private final AtomicIntegerArray lost;

	Balancer(List<InetSocketAddress> daemons, List<Double> weights) {
		this.daemons = List.copyOf(daemons);
		this.weights = List.copyOf(weights);
		this.lost = new AtomicIntegerArray(daemons.size());
	}

	/**
	 * Chooses a daemon.
	 * @param draw a number from 0 to 1
	 * @return the index of the daemon
	 */
	int choose(double draw) {
		double total = 0;
		for (int at = 0; at < this.daemons.size(); at++) {
			total += weight(at);
		}
		double left = draw * total;
		for (int at = 0; at < this.daemons.size(); at++) {
			left -= weight(at);
			if (left < 0) {
				return at;
			}
		}
		return this.daemons.size() - 1;
	}

	/**
	 * Chooses the daemon after one that refused the connection.
	 * @param index the index of that daemon
	 * @return the index of the next daemon
	 */
	int next(int index) {
		int next = (index + 1) % this.daemons.size();
		return (this.lost.get(next) == 0) ? next : (next + 1) % this.daemons.size();
	}

	InetSocketAddress address(int index) {
		return this.daemons.get(index);
	}

	int size() {
		return this.daemons.size();
	}

	void markLost(int index) {
		this.lost.set(index, 1);
	}

	private double weight(int index) {
		return (this.lost.get(index) == 0) ? this.weights.get(index % this.weights.size()) : 0;
	}

}
