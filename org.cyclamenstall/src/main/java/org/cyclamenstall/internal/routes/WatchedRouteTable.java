package org.cyclamenstall.internal.routes;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.events.Event;
import org.cyclamenstall.events.EventLog;
import org.cyclamenstall.internal.watch.StoreListener;
import org.cyclamenstall.routes.RouteTable;
import org.cyclamenstall.routes.RouteTableCodec;
import org.cyclamenstall.routes.RouteTableView;
import org.cyclamenstall.store.StoreChange;
import org.cyclamenstall.store.StoreListing;
import org.cyclamenstall.store.StoreRecord;
import org.jspecify.annotations.Nullable;

/**
 * Provides the route table that was decoded from the newest valid configuration in a
 * watched store. Records with an older version and records that cannot be decoded never
 * replace the active configuration, and the removal of the configuration is ignored. So a
 * store that was restored from an older copy never takes the configuration back; until
 * the operator has written again, it does not confirm it either. Thread-safe.
 */
public final class WatchedRouteTable implements RouteTableView, StoreListener {

	private final List<Consumer<RouteTable>> listeners = new CopyOnWriteArrayList<>();

	private final String key;

	private final RouteTableCodec codec;

	private final EventLog events;

	private volatile @Nullable RouteTable table;

	private long storeVersion;

	/**
	 * Version of the last configuration that was read since the store was restored.
	 */
	private volatile long readVersion;

	private volatile boolean restored;

	/**
	 * Creates a view that has no route table until a valid configuration is received.
	 * @param key the store key of the configuration
	 * @param codec decodes the configuration
	 * @param events the event log
	 */
	public WatchedRouteTable(String key, RouteTableCodec codec, EventLog events) {
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
	public void onStoreRestored() {
		this.readVersion = 0;
		this.restored = true;
	}

	@Override
	public boolean confirmsState() {
		return !this.restored || this.readVersion >= activeVersion();
	}

	@Override
	public void onListing(StoreListing listing) {
		listing.records().forEach(this::apply);
	}

	@Override
	public void onChange(StoreChange change) {
		if (change.record() != null) {
			apply(change.record());
		}
	}

	private synchronized void apply(StoreRecord record) {
		if (!record.key().equals(this.key) || record.version() <= this.storeVersion) {
			return;
		}
		this.storeVersion = record.version();
		RouteTable newTable;
		try {
			newTable = this.codec.decode(record.value());
		}
		catch (RouterException ex) {
			reject(record, "cannot decode configuration: " + ex.getMessage());
			return;
		}
		this.readVersion = newTable.version();
		long previousVersion = activeVersion();
		if (newTable.version() <= previousVersion) {
			reject(record, "version is not newer than the active one: " + newTable.version());
			return;
		}
		this.table = newTable;
		this.events.record(new Event.ConfigurationInForce(newTable.version(), previousVersion, newTable.routeCount()));
		this.listeners.forEach((listener) -> listener.accept(newTable));
	}

	private void reject(StoreRecord record, String detail) {
		this.events.record(new Event.ConfigurationRefused(record.version(), activeVersion(), detail));
	}

	private long activeVersion() {
		RouteTable current = this.table;
		return (current != null) ? current.version() : 0;
	}

}
