package org.cyclamenstall.standin.platform;

import java.util.Map;
import java.util.NavigableMap;
import java.util.Objects;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

/**
 * The values of the store and the index of the last change. Not thread-safe; guarded by
 * the {@link StoreStandin}.
 */
final class StoreState {

	private final NavigableMap<String, StoredValue> values;

	private final NavigableMap<String, Long> deletionIndexes;

	private long index;

	StoreState() {
		this(new TreeMap<>(), new TreeMap<>(), 1);
	}

	private StoreState(NavigableMap<String, StoredValue> values, NavigableMap<String, Long> deletionIndexes,
			long index) {
		this.values = values;
		this.deletionIndexes = deletionIndexes;
		this.index = index;
	}

	StoreState copy() {
		return new StoreState(new TreeMap<>(this.values), new TreeMap<>(this.deletionIndexes), this.index);
	}

	@Nullable StoredValue get(String key) {
		return this.values.get(key);
	}

	Map<String, StoredValue> entriesWithPrefix(String prefix) {
		return subMapWithPrefix(this.values, prefix);
	}

	/**
	 * Returns the index of the last change of one key or of all keys with a prefix,
	 * including deletions.
	 * @param key the key, or the prefix of the keys if {@code recurse} is set
	 * @param recurse whether all keys with the prefix are considered
	 * @return the index; 1 if there was no change
	 */
	long indexOf(String key, boolean recurse) {
		if (!recurse) {
			StoredValue value = this.values.get(key);
			return Math.max(1, Math.max((value != null) ? value.modifyIndex() : 0,
					Objects.requireNonNullElse(this.deletionIndexes.get(key), 0L)));
		}
		long latestIndex = 1;
		for (StoredValue value : subMapWithPrefix(this.values, key).values()) {
			latestIndex = Math.max(latestIndex, value.modifyIndex());
		}
		for (long deletionIndex : subMapWithPrefix(this.deletionIndexes, key).values()) {
			latestIndex = Math.max(latestIndex, deletionIndex);
		}
		return latestIndex;
	}

	/**
	 * Sets a value.
	 * @param key the key
	 * @param value the value
	 * @param expectedIndex the expected modify index of the key; 0 if the key must not
	 * exist, {@code null} for an unconditional write
	 * @return {@code false} if the value was not set because the key is not at the
	 * expected index
	 */
	boolean put(String key, byte[] value, @Nullable Long expectedIndex) {
		StoredValue current = this.values.get(key);
		if (!matchesIndex(current, expectedIndex)) {
			return false;
		}
		this.index++;
		this.deletionIndexes.remove(key);
		this.values.put(key,
				new StoredValue(value, (current != null) ? current.createIndex() : this.index, this.index));
		return true;
	}

	// Returns true also if an unconditional deletion finds no key.
	boolean delete(String key, @Nullable Long expectedIndex) {
		StoredValue current = this.values.get(key);
		if (expectedIndex != null && (current == null || current.modifyIndex() != expectedIndex)) {
			return false;
		}
		if (current != null) {
			this.index++;
			this.values.remove(key);
			this.deletionIndexes.put(key, this.index);
		}
		return true;
	}

	private static boolean matchesIndex(@Nullable StoredValue current, @Nullable Long expectedIndex) {
		if (expectedIndex == null) {
			return true;
		}
		return (expectedIndex == 0) ? current == null : current != null && current.modifyIndex() == expectedIndex;
	}

	private static <T> Map<String, T> subMapWithPrefix(NavigableMap<String, T> map, String prefix) {
		return map.subMap(prefix, true, prefix + Character.MAX_VALUE, false);
	}

}
