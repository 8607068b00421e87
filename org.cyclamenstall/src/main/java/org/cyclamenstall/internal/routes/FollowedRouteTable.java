package org.cyclamenstall.internal.routes;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.events.Event;
import org.cyclamenstall.events.EventLog;
import org.cyclamenstall.internal.follower.StoreListener;
import org.cyclamenstall.routes.RouteTable;
import org.cyclamenstall.routes.RouteTableCodec;
import org.cyclamenstall.routes.RouteTableView;
import org.cyclamenstall.store.StoreChange;
import org.cyclamenstall.store.StoreRecord;
import org.jspecify.annotations.Nullable;

/**
 * Holds the newest configuration of a followed store. An older version, and one that
 * cannot be read, never replaces the one in force. Thread-safe.
 */
public final class FollowedRouteTable implements RouteTableView, StoreListener {

	private final List<Consumer<RouteTable>> listeners = new CopyOnWriteArrayList<>();

	private final String key;

	private final RouteTableCodec codec;

	private final EventLog events;

	private volatile @Nullable RouteTable table;

	private long storeVersion;

	/**
	 * Creates a holder of nothing.
	 * @param key the key of the configuration
	 * @param codec decodes the configuration
	 * @param events takes the events
	 */
	public FollowedRouteTable(String key, RouteTableCodec codec, EventLog events) {
		this.key = key;
		this.codec = codec;
		this.events = events;
	}

	@Override
	public Optional<RouteTable> current() {
		return Optional.ofNullable(this.table);
	}

	@Override
	public void addListener(Consumer<RouteTable> listener) {
		this.listeners.add(listener);
	}

	@Override
	public void listed(List<StoreRecord> records) {
		records.forEach(this::take);
	}

	@Override
	public void changed(StoreChange change) {
		if (change.record() != null) {
			take(change.record());
		}
	}

	private synchronized void take(StoreRecord record) {
		if (!record.key().equals(this.key) || record.version() <= this.storeVersion) {
			return;
		}
		this.storeVersion = record.version();
		RouteTable newer;
		try {
			newer = this.codec.decode(record.value());
		}
		catch (RouterException ex) {
			refuse(record, "it cannot be read: " + ex.getMessage());
			return;
		}
		long before = inForce();
		if (newer.version() <= before) {
			refuse(record, "its version is " + newer.version());
			return;
		}
		this.table = newer;
		this.events.record(new Event.ConfigurationInForce(newer.version(), before, newer.routeCount()));
		this.listeners.forEach((listener) -> listener.accept(newer));
	}

	private void refuse(StoreRecord record, String detail) {
		this.events.record(new Event.ConfigurationRefused(record.version(), inForce(), detail));
	}

	private long inForce() {
		RouteTable current = this.table;
		return (current != null) ? current.version() : 0;
	}

}
