package org.cyclamenstall.standin.http;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counters of calls and of their effects, such as generated tokens, by kind. Thread-safe.
 */
public final class CallCounts {

	private final Map<String, LongAdder> counts = new ConcurrentHashMap<>();

	/**
	 * Increments the counter of a kind by one.
	 * @param kind the kind of call
	 */
	public void increment(String kind) {
		add(kind, 1);
	}

	/**
	 * Increments the counter of a kind.
	 * @param kind the kind of call
	 * @param amount the amount to add
	 */
	public void add(String kind, long amount) {
		this.counts.computeIfAbsent(kind, (key) -> new LongAdder()).add(amount);
	}

	/**
	 * Returns the counter of a kind.
	 * @param kind the kind of call
	 * @return the count; 0 if no call of this kind was counted
	 */
	public long get(String kind) {
		LongAdder count = this.counts.get(kind);
		return (count != null) ? count.sum() : 0;
	}

	/**
	 * Returns a copy of all counters.
	 * @return the counts by kind, sorted by name
	 */
	public Map<String, Long> all() {
		Map<String, Long> all = new TreeMap<>();
		this.counts.forEach((kind, count) -> all.put(kind, count.sum()));
		return all;
	}

}
