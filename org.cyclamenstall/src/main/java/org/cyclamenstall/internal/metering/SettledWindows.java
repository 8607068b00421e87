package org.cyclamenstall.internal.metering;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.store.ConditionalWrite;
import org.cyclamenstall.store.ConditionalWriteResult;
import org.cyclamenstall.store.LeasedStore;
import org.cyclamenstall.store.StoreRecord;
import org.cyclamenstall.store.WatchedStore;
import org.jspecify.annotations.Nullable;

/**
 * Settles the counts of each window in the store, once. The windows are kept in a ring of
 * records, so that nothing has to be deleted. A record is replaced only on the condition
 * that it is unchanged since it was read, and never by an older window, so that of
 * several daemons one settles a window, and the others find its counts. Blocks during
 * calls to the store. Not thread-safe.
 */
final class SettledWindows {

	/** Prefix of the keys of the ring. */
	static final String PREFIX = "cyclamenstall/usage/";

	/** Number of records in the ring. */
	static final int RING_SIZE = 32;

	private static final Logger logger = LogManager.getLogger(SettledWindows.class);

	private final WatchedStore reader;

	private final LeasedStore writer;

	private final Duration timeout;

	private final Map<String, StoreRecord> ring = new HashMap<>();

	private boolean loaded;

	/**
	 * Creates an instance that has read nothing.
	 * @param reader reads the store
	 * @param writer writes the store
	 * @param timeout the timeout of each call
	 */
	SettledWindows(WatchedStore reader, LeasedStore writer, Duration timeout) {
		this.reader = reader;
		this.writer = writer;
		this.timeout = timeout;
	}

	/**
	 * Forgets what was read, because other daemons may write.
	 */
	void forget() {
		this.loaded = false;
		this.ring.clear();
	}

	/**
	 * Reads the ring unless it is known.
	 * @throws org.cyclamenstall.errors.RouterException if the store did not respond
	 */
	void load() {
		if (!this.loaded) {
			this.ring.clear();
			this.reader.list(PREFIX, this.timeout).records().forEach((record) -> this.ring.put(record.key(), record));
			this.loaded = true;
		}
	}

	/**
	 * Returns a window that was settled.
	 * @param window the number of the window
	 * @return the settled counts, or {@code null} if the window was not settled, or so
	 * long ago that its record was replaced
	 */
	@Nullable SettledWindow find(long window) {
		SettledWindow stored = stored(window);
		return (stored != null && stored.window() == window) ? stored : null;
	}

	/**
	 * Returns whether a window can no longer be settled, because its record holds a newer
	 * one.
	 * @param window the number of the window
	 * @return {@code true} if a newer window was settled in its place
	 */
	boolean isReplaced(long window) {
		SettledWindow stored = stored(window);
		return stored != null && stored.window() > window;
	}

	private @Nullable SettledWindow stored(long window) {
		StoreRecord record = this.ring.get(key(window));
		return (record != null) ? SettledWindow.decode(record) : null;
	}

	/**
	 * Settles a window, unless another daemon has done so. Must be called only for a
	 * window that is neither settled nor replaced.
	 * @param counts the counts to settle
	 * @return {@code true} if these counts were settled by this call; otherwise
	 * {@link #find} returns those of the other daemon, if the store responded
	 */
	boolean settle(SettledWindow counts) {
		String key = key(counts.window());
		StoreRecord known = this.ring.get(key);
		byte[] value = counts.encode();
		ConditionalWriteResult result = this.writer.write(new ConditionalWrite(key, value,
				(known != null) ? known.version() : ConditionalWrite.ABSENT, ConditionalWrite.NO_LEASE), this.timeout);
		if (result instanceof ConditionalWriteResult.Applied applied) {
			this.ring.put(key, new StoreRecord(key, value, applied.version()));
			return true;
		}
		if (result instanceof ConditionalWriteResult.Conflict conflict && conflict.current() != null) {
			this.ring.put(key, conflict.current());
			return false;
		}
		// The write may have been executed, or may be later.
		logger.info("Window {} may or may not be settled: {}", counts.window(), result);
		forget();
		return false;
	}

	private static String key(long window) {
		return PREFIX + Math.floorMod(window, RING_SIZE);
	}

}
