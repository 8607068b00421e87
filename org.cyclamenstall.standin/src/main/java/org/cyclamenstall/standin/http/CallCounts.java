package org.cyclamenstall.standin.http;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts calls by kind. Thread-safe.
 */
public final class CallCounts {

	private final Map<String, LongAdder> counts = new ConcurrentHashMap<>();

	/**
	 * Counts one call.
	 * @param kind the kind of call
	 */
	public void increment(String kind) {
		add(kind, 1);
	}

	/**
	 * Adds to a count.
	 * @param kind the kind of call
	 * @param amount what to add
	 */
	public void add(String kind, long amount) {
		this.counts.computeIfAbsent(kind, (key) -> new LongAdder()).add(amount);
	}

	/**
	 * Returns one count.
	 * @param kind the kind of call
	 * @return the count
	 */
	public long get(String kind) {
		LongAdder count = this.counts.get(kind);
		return (count != null) ? count.sum() : 0;
	}

	/**
	 * Returns all counts.
	 * @return the counts by kind
	 */
	public Map<String, Long> all() {
		Map<String, Long> all = new TreeMap<>();
		this.counts.forEach((kind, count) -> all.put(kind, count.sum()));
		return all;
	}

}
