package org.cyclamenstall.internal.policy;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

import org.jspecify.annotations.Nullable;

/**
 * Orders requests by due time; each request occurs at most once. Not thread-safe: guarded
 * by the controller's lock.
 */
final class TimerQueue {

	private final TreeSet<Entry> entries = new TreeSet<>(Comparator.<Entry>naturalOrder());

	private final Map<PolicyTicket, Entry> entriesByTicket = new HashMap<>();

	private long sequence;

	void put(PolicyTicket ticket, long atNanos) {
		remove(ticket);
		Entry entry = new Entry(atNanos, this.sequence++, ticket);
		this.entriesByTicket.put(ticket, entry);
		this.entries.add(entry);
	}

	boolean remove(PolicyTicket ticket) {
		Entry entry = this.entriesByTicket.remove(ticket);
		return entry != null && this.entries.remove(entry);
	}

	@Nullable PolicyTicket pollDue(long nowNanos) {
		if (this.entries.isEmpty() || this.entries.first().atNanos - nowNanos > 0) {
			return null;
		}
		PolicyTicket ticket = this.entries.first().ticket;
		remove(ticket);
		return ticket;
	}

	private record Entry(long atNanos, long sequence, PolicyTicket ticket) implements Comparable<Entry> {

		@Override
		public int compareTo(Entry other) {
			int order = Long.compare(this.atNanos - other.atNanos, 0);
			return (order != 0) ? order : Long.compare(this.sequence, other.sequence);
		}

	}

}
