package org.cyclamenstall.standin.platform;

import java.util.Map;
import java.util.NavigableMap;
import java.util.Objects;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

/**
 * Holds the values of the store and the index of its last change. Not thread-safe; the
 * stand-in guards it.
 */
final class StoreState {

	private final NavigableMap<String, StoredValue> values;

	private final NavigableMap<String, Long> deletions;

	private long index;

	StoreState() {
		this(new TreeMap<>(), new TreeMap<>(), 1);
	}

	private StoreState(NavigableMap<String, StoredValue> values, NavigableMap<String, Long> deletions, long index) {
		this.values = values;
		this.deletions = deletions;
		this.index = index;
	}

	StoreState copy() {
		return new StoreState(new TreeMap<>(this.values), new TreeMap<>(this.deletions), this.index);
	}

	@Nullable StoredValue get(String key) {
		return this.values.get(key);
	}

	Map<String, StoredValue> below(String prefix) {
		return range(this.values, prefix);
	}

	long indexOf(String key, boolean recurse) {
		if (!recurse) {
			StoredValue value = this.values.get(key);
			return Math.max(1, Math.max((value != null) ? value.modifyIndex() : 0,
					Objects.requireNonNullElse(this.deletions.get(key), 0L)));
		}
		long latest = 1;
		for (StoredValue value : range(this.values, key).values()) {
			latest = Math.max(latest, value.modifyIndex());
		}
		for (long deletion : range(this.deletions, key).values()) {
			latest = Math.max(latest, deletion);
		}
		return latest;
	}

	boolean put(String key, byte[] value, @Nullable Long expected) {
		StoredValue old = this.values.get(key);
		if (!matches(old, expected)) {
			return false;
		}
		this.index++;
		this.deletions.remove(key);
		this.values.put(key, new StoredValue(value, (old != null) ? old.createIndex() : this.index, this.index));
		return true;
	}

	boolean delete(String key, @Nullable Long expected) {
		StoredValue old = this.values.get(key);
		if (expected != null && (old == null || old.modifyIndex() != expected)) {
			return false;
		}
		if (old != null) {
			this.index++;
			this.values.remove(key);
			this.deletions.put(key, this.index);
		}
		return true;
	}

	private static boolean matches(@Nullable StoredValue old, @Nullable Long expected) {
		if (expected == null) {
			return true;
		}
		return (expected == 0) ? old == null : old != null && old.modifyIndex() == expected;
	}

	private static <T> Map<String, T> range(NavigableMap<String, T> map, String prefix) {
		return map.subMap(prefix, true, prefix + Character.MAX_VALUE, false);
	}

}
