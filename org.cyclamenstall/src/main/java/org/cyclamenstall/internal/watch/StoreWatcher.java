package org.cyclamenstall.internal.watch;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.events.Event;
import org.cyclamenstall.events.EventLog;
import org.cyclamenstall.internal.kernel.EssentialThread;
import org.cyclamenstall.kernel.Service;
import org.cyclamenstall.store.StoreChange;
import org.cyclamenstall.store.StoreChanges;
import org.cyclamenstall.store.StoreListing;
import org.cyclamenstall.store.StoreVersions;
import org.cyclamenstall.store.WatchedStore;
import org.jspecify.annotations.Nullable;

/**
 * Polls a watched store and notifies listeners of its records. It lists the records once
 * and then long-polls for changes. Each poll is short and has its own timeout, because a
 * dead connection may never return an error. If the store no longer has the history that
 * the watcher needs, or was restored from an older copy, the records are listed again.
 * Changes that do not arrive in time may be too long, so a poll for changes that failed
 * is followed by a listing, which has each record only once. Thread-safe.
 */
public final class StoreWatcher implements Service {

	private static final Logger logger = LogManager.getLogger(StoreWatcher.class);

	private static final Duration LIST_TIMEOUT = Duration.ofMillis(1_500);

	private final List<StoreListener> listeners = new CopyOnWriteArrayList<>();

	private final WatchedStore store;

	private final String prefix;

	private final StoreStaleness staleness;

	private final WatchTiming timing;

	private final WatchBackoff backoff;

	private final EventLog events;

	private @Nullable Thread thread;

	private volatile boolean closed;

	private boolean listingValid;

	/** Whether the last poll for changes failed and no listing was tried since. */
	private boolean changesFailed;

	private boolean storeLost;

	private long storeLostAtNanos;

	private long index;

	/**
	 * Creates a watcher.
	 * @param store the store
	 * @param prefix the prefix of the keys to watch
	 * @param staleness records each successful poll
	 * @param timing the durations of the polls
	 * @param random the random number generator for jitter
	 * @param events the event log
	 */
	public StoreWatcher(WatchedStore store, String prefix, StoreStaleness staleness, WatchTiming timing,
			UniformRandomProvider random, EventLog events) {
		this.store = store;
		this.prefix = prefix;
		this.staleness = staleness;
		this.timing = timing;
		this.backoff = new WatchBackoff(timing.changeDelay(), random);
		this.events = events;
	}

	/**
	 * Adds a listener. Must be called before {@link #start()}.
	 * @param listener the listener
	 */
	public void addListener(StoreListener listener) {
		this.listeners.add(listener);
	}

	@Override
	public void start() {
		this.thread = EssentialThread.start("store-follower", this::run, () -> this.closed);
	}

	@Override
	public void close() {
		this.closed = true;
		if (this.thread != null) {
			this.thread.interrupt();
		}
	}

	private void run() {
		while (!this.closed) {
			sleep(this.backoff.delayMillis(poll()));
		}
	}

	/**
	 * Polls the store once and notifies the listeners.
	 * @return the result of the poll
	 */
	public WatchResult poll() {
		long sentAtNanos = this.staleness.nowNanos();
		boolean polledChanges = this.listingValid && !this.changesFailed;
		try {
			if (!polledChanges) {
				this.changesFailed = false;
				readListing(sentAtNanos);
				return WatchResult.UNCHANGED;
			}
			return readChanges(sentAtNanos) ? WatchResult.CHANGED : WatchResult.UNCHANGED;
		}
		catch (RouterException ex) {
			this.changesFailed = polledChanges;
			recordFailure(ex);
			return (ex.kind() == ErrorKind.STORE_HISTORY_LOST) ? WatchResult.UNCHANGED : WatchResult.FAILED;
		}
		catch (RuntimeException ex) {
			logger.error("Store watcher failed", ex);
			this.listingValid = false;
			return WatchResult.FAILED;
		}
		catch (Error ex) {
			// A listener may have missed a change.
			this.listingValid = false;
			throw ex;
		}
		finally {
			this.listeners.forEach(StoreListener::onPollCompleted);
		}
	}

	private void readListing(long sentAtNanos) {
		StoreListing listing = this.store.list(this.prefix, LIST_TIMEOUT);
		recordResponse();
		if (this.index != 0 && StoreVersions.generation(listing.index()) != StoreVersions.generation(this.index)) {
			recordRestore(listing);
		}
		this.listeners.forEach((listener) -> listener.onListing(listing));
		this.index = listing.index();
		this.listingValid = true;
		recordConfirmation(sentAtNanos);
	}

	private void recordRestore(StoreListing listing) {
		this.events.record(new Event.StoreRestored(StoreVersions.generation(listing.index()),
				StoreVersions.generation(this.index), StoreVersions.revision(listing.index()),
				StoreVersions.revision(this.index), listing.records().size()));
		this.listeners.forEach(StoreListener::onStoreRestored);
	}

	private void recordConfirmation(long currentAtNanos) {
		if (this.listeners.stream().allMatch(StoreListener::confirmsState)) {
			this.staleness.recordConfirmation(currentAtNanos);
		}
	}

	private boolean readChanges(long sentAtNanos) {
		// Does not wait during an outage, so that the recovery is detected immediately.
		Duration wait = this.storeLost ? Duration.ZERO : longPollWait();
		StoreChanges changes = this.store.changesAfter(this.prefix, this.index, wait,
				wait.plus(WatchTiming.LONG_POLL_TIMEOUT_MARGIN));
		Duration elapsed = Duration.ofNanos(this.staleness.nowNanos() - sentAtNanos);
		recordResponse();
		for (StoreChange change : changes.changes()) {
			this.listeners.forEach((listener) -> listener.onChange(change));
		}
		this.index = Math.max(this.index, changes.index());
		boolean waitedInFull = changes.changes().isEmpty() && elapsed.compareTo(wait) >= 0;
		recordConfirmation(sentAtNanos + (waitedInFull ? confirmedWait(wait).toNanos() : 0));
		return !changes.changes().isEmpty();
	}

	private Duration longPollWait() {
		return this.listeners.stream()
			.map(StoreListener::maximumPollTime)
			.filter(Objects::nonNull)
			.reduce(this.timing.longPollWait(), (first, second) -> (first.compareTo(second) <= 0) ? first : second);
	}

	/**
	 * Returns how long after its request a poll without changes confirms the state. The
	 * store responds to it only after the wait, so nothing had changed until then, apart
	 * from changes that the store notifies late.
	 * @param wait the wait of the poll
	 * @return the time from the request to the confirmed state
	 */
	private static Duration confirmedWait(Duration wait) {
		Duration confirmed = wait.minus(WatchTiming.MAXIMUM_NOTIFICATION_DELAY);
		return confirmed.isNegative() ? Duration.ZERO : confirmed;
	}

	private void recordResponse() {
		if (this.storeLost) {
			this.storeLost = false;
			this.events.record(new Event.StoreRegained(
					TimeUnit.NANOSECONDS.toMillis(this.staleness.nowNanos() - this.storeLostAtNanos)));
			this.listeners.forEach(StoreListener::onStoreRecovered);
		}
	}

	private void recordFailure(RouterException ex) {
		if (ex.kind() == ErrorKind.STORE_HISTORY_LOST) {
			this.events.record(new Event.StoreHistoryLost(this.index));
			this.listingValid = false;
			return;
		}
		if (!this.storeLost) {
			this.storeLost = true;
			this.storeLostAtNanos = this.staleness.nowNanos();
			this.events.record(new Event.StoreLost(String.valueOf(ex.getMessage()), this.index));
			this.listeners.forEach(StoreListener::onStoreLost);
		}
	}

	private void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			this.closed = true;
		}
	}

}
