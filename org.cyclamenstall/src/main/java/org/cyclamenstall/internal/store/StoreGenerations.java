package org.cyclamenstall.internal.store;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.LongConsumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.store.StoreVersions;
import org.jspecify.annotations.Nullable;

/**
 * Knows the generation of a store from its responses, and tells which responses still
 * count. A response of a lower generation is void, whenever it arrives; one of a higher
 * generation voids what was read under the lower one.
 * <p>
 * Invariant: the generation never decreases. Thread-safe; listeners are called on the
 * thread of the call whose response showed the generation, before the response is used.
 */
public final class StoreGenerations {

	private static final Logger logger = LogManager.getLogger(StoreGenerations.class);

	private final List<LongConsumer> listeners = new CopyOnWriteArrayList<>();

	private long current;

	private long changeCount;

	private long voidCount;

	/**
	 * Adds a listener. Must be called before the first call to the store.
	 * @param listener receives each new generation
	 */
	public void addListener(LongConsumer listener) {
		this.listeners.add(listener);
	}

	/**
	 * Returns the highest generation that was seen.
	 * @return the generation, or zero if the store has none
	 */
	public synchronized long current() {
		return this.current;
	}

	/**
	 * Returns how often a higher generation was seen after another one.
	 * @return the number of restores
	 */
	public synchronized long restoreCount() {
		return this.changeCount;
	}

	/**
	 * Returns how many responses did not count.
	 * @return the number of responses of a lower or unreadable generation
	 */
	public synchronized long voidCount() {
		return this.voidCount;
	}

	/**
	 * Checks the generation of a response.
	 * @param text the generation as the store states it, or {@code null} if it states
	 * none
	 * @return {@code true} if the response belongs to the current generation, which may
	 * have changed with it; {@code false} if it must not be used
	 */
	public boolean accept(@Nullable String text) {
		long generation = parse(text);
		synchronized (this) {
			if (generation < this.current) {
				rejectResponse(text);
				return false;
			}
			if (generation == this.current) {
				return true;
			}
			if (this.current != 0) {
				this.changeCount++;
				logger.warn("The store was restored from an older copy: generation {} after {}", generation,
						this.current);
			}
			this.current = generation;
		}
		this.listeners.forEach((listener) -> listener.accept(generation));
		return true;
	}

	// A store that states no generation, or an unreadable one, counts as one of zero: its
	// responses are used until a generation was seen.
	private static long parse(@Nullable String text) {
		if (text == null) {
			return 0;
		}
		try {
			long generation = Long.parseLong(text.trim());
			return (generation <= StoreVersions.MAXIMUM_GENERATION) ? Math.max(0, generation) : 0;
		}
		catch (NumberFormatException ex) {
			return 0;
		}
	}

	// Logs the first, second, fourth, eighth and so on.
	private void rejectResponse(@Nullable String text) {
		this.voidCount++;
		if (Long.bitCount(this.voidCount) == 1) {
			logger.warn("Ignoring a response of the store: its generation is '{}', after {}; {} such responses so far",
					text, this.current, this.voidCount);
		}
	}

}
