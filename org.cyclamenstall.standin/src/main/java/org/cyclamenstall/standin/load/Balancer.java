package org.cyclamenstall.standin.load;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.atomic.AtomicIntegerArray;

/**
 * Distributes requests over the daemons by weight, like the load balancer of the
 * platform, and skips daemons marked as unavailable. Thread-safe.
 */
final class Balancer {

	private final List<InetSocketAddress> daemons;

	private final List<Double> weights;

	private final AtomicIntegerArray unavailable;

	Balancer(List<InetSocketAddress> daemons, List<Double> weights) {
		this.daemons = List.copyOf(daemons);
		this.weights = List.copyOf(weights);
		this.unavailable = new AtomicIntegerArray(daemons.size());
	}

	/**
	 * Selects a daemon.
	 * @param sample a random number from 0 to 1
	 * @return the index of the daemon
	 */
	int select(double sample) {
		double total = 0;
		for (int index = 0; index < this.daemons.size(); index++) {
			total += weight(index);
		}
		double remaining = sample * total;
		for (int index = 0; index < this.daemons.size(); index++) {
			remaining -= weight(index);
			if (remaining < 0) {
				return index;
			}
		}
		return this.daemons.size() - 1;
	}

	/**
	 * Selects the daemon to try after another one refused the connection: the next one in
	 * the list, or the one after it if the next is marked as unavailable.
	 * @param index the index of the daemon that refused
	 * @return the index of the next daemon
	 */
	int selectAfter(int index) {
		int next = (index + 1) % this.daemons.size();
		return (this.unavailable.get(next) == 0) ? next : (next + 1) % this.daemons.size();
	}

	InetSocketAddress address(int index) {
		return this.daemons.get(index);
	}

	int size() {
		return this.daemons.size();
	}

	void markUnavailable(int index) {
		this.unavailable.set(index, 1);
	}

	private double weight(int index) {
		return (this.unavailable.get(index) == 0) ? this.weights.get(index % this.weights.size()) : 0;
	}

}
