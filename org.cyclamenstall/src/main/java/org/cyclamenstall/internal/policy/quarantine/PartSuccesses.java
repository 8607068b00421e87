package org.cyclamenstall.internal.policy.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Remembers when an upstream last began to respond to a request with a prompt part, as
 * far as this daemon has seen or heard. Bounded: the least recently used parts are
 * forgotten. Not thread-safe.
 */
final class PartSuccesses {

	private static final int MAXIMUM_PARTS = 8_192;

	private final Map<Long, Long> lastAtNanos = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
			return size() > MAXIMUM_PARTS;
		}

	};

	/**
	 * Records a success, unless a later one is known.
	 * @param part the key of the part
	 * @param atNanos the time on the monotonic clock
	 */
	void record(long part, long atNanos) {
		this.lastAtNanos.merge(part, atNanos, (known, added) -> (added - known > 0) ? added : known);
	}

	/**
	 * Returns the time of the last success.
	 * @param part the key of the part
	 * @return the time on the monotonic clock, or {@code null} if none is known
	 */
	@Nullable Long last(long part) {
		return this.lastAtNanos.get(part);
	}

	/**
	 * Returns whether a success is known that is later than a time.
	 * @param part the key of the part
	 * @param nanos the time on the monotonic clock
	 * @return {@code true} if there was one after that time
	 */
	boolean isKnownAfter(long part, long nanos) {
		Long last = last(part);
		return last != null && last - nanos > 0;
	}

}
