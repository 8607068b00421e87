package org.cyclamenstall.internal.follower;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.events.Event;
import org.cyclamenstall.events.EventLog;
import org.cyclamenstall.kernel.Service;
import org.cyclamenstall.store.StoreChange;
import org.cyclamenstall.store.StoreChanges;
import org.cyclamenstall.store.StoreListing;
import org.cyclamenstall.store.WatchedStore;
import org.jspecify.annotations.Nullable;

/**
 * Keeps listeners at the state of a watched store. It lists once and then waits for
 * changes; each wait is short and has a timeout of its own, because a connection may stay
 * silent for good. After a gap in the history it lists again. Thread-safe.
 */
public final class StoreFollower implements Service {

	private static final Logger logger = LogManager.getLogger(StoreFollower.class);

	/** How long the store waits for a change before it answers without one. */
	private static final Duration WAIT = Duration.ofMillis(2_000);

	private static final Duration TIMEOUT_BEYOND_WAIT = Duration.ofMillis(700);

	private static final Duration LIST_TIMEOUT = Duration.ofMillis(1_500);

	private final List<StoreListener> listeners = new CopyOnWriteArrayList<>();

	private final WatchedStore store;

	private final String prefix;

	private final Freshness freshness;

	private final FollowPace pace;

	private final EventLog events;

	private @Nullable Thread thread;

	private volatile boolean closed;

	private boolean listed;

	private boolean lost;

	private long lostAtNanos;

	private long index;

	/**
	 * Creates a follower.
	 * @param store the store
	 * @param prefix the prefix of the keys to follow
	 * @param freshness is told of each answer
	 * @param random the source of jitter
	 * @param events takes the events
	 */
	public StoreFollower(WatchedStore store, String prefix, Freshness freshness, UniformRandomProvider random,
			EventLog events) {
		this.store = store;
		this.prefix = prefix;
		this.freshness = freshness;
		this.pace = new FollowPace(random);
		this.events = events;
	}

	/**
	 * Adds a listener; called before the start.
	 * @param listener the listener
	 */
	public void addListener(StoreListener listener) {
		this.listeners.add(listener);
	}

	@Override
	public void start() {
		Thread started = new Thread(this::run, "store-follower");
		started.setDaemon(true);
		this.thread = started;
		started.start();
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
			pause(this.pace.pauseMillis(step()));
		}
	}

	/**
	 * Asks the store once.
	 * @return what came of it
	 */
	public FollowStep step() {
		long sentAtNanos = this.freshness.nowNanos();
		try {
			if (!this.listed) {
				takeListing(sentAtNanos);
				return FollowStep.UNCHANGED;
			}
			return takeChanges(sentAtNanos) ? FollowStep.CHANGED : FollowStep.UNCHANGED;
		}
		catch (RouterException ex) {
			failed(ex);
			return (ex.kind() == ErrorKind.STORE_HISTORY_LOST) ? FollowStep.UNCHANGED : FollowStep.FAILED;
		}
		catch (RuntimeException ex) {
			logger.error("The follower of the store failed", ex);
			this.listed = false;
			return FollowStep.FAILED;
		}
		finally {
			this.listeners.forEach(StoreListener::settled);
		}
	}

	private void takeListing(long sentAtNanos) {
		StoreListing listing = this.store.list(this.prefix, LIST_TIMEOUT);
		answered();
		this.listeners.forEach((listener) -> listener.listed(listing.records()));
		this.index = listing.index();
		this.listed = true;
		this.freshness.confirmed(sentAtNanos);
	}

	private boolean takeChanges(long sentAtNanos) {
		Duration wait = this.lost ? Duration.ZERO : WAIT;
		StoreChanges changes = this.store.changesAfter(this.prefix, this.index, wait, wait.plus(TIMEOUT_BEYOND_WAIT));
		answered();
		for (StoreChange change : changes.changes()) {
			this.listeners.forEach((listener) -> listener.changed(change));
		}
		this.index = Math.max(this.index, changes.index());
		this.freshness.confirmed(sentAtNanos);
		return !changes.changes().isEmpty();
	}

	private void answered() {
		if (this.lost) {
			this.lost = false;
			this.events.record(new Event.StoreRegained(
					TimeUnit.NANOSECONDS.toMillis(this.freshness.nowNanos() - this.lostAtNanos)));
			this.listeners.forEach(StoreListener::regained);
		}
	}

	private void failed(RouterException ex) {
		if (ex.kind() == ErrorKind.STORE_HISTORY_LOST) {
			this.events.record(new Event.StoreHistoryLost(this.index));
			this.listed = false;
			return;
		}
		if (!this.lost) {
			this.lost = true;
			this.lostAtNanos = this.freshness.nowNanos();
			this.events.record(new Event.StoreLost(String.valueOf(ex.getMessage()), this.index));
			this.listeners.forEach(StoreListener::lost);
		}
	}

	private void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			this.closed = true;
		}
	}

}
