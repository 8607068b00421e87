package org.cyclamenstall.internal.routes;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.errors.RouterException;
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

	private static final Logger logger = LogManager.getLogger(FollowedRouteTable.class);

	private final List<Consumer<RouteTable>> listeners = new CopyOnWriteArrayList<>();

	private final String key;

	private final RouteTableCodec codec;

	private volatile @Nullable RouteTable table;

	private long storeVersion;

	/**
	 * Creates a holder of nothing.
	 * @param key the key of the configuration
	 * @param codec decodes the configuration
	 */
	public FollowedRouteTable(String key, RouteTableCodec codec) {
		this.key = key;
		this.codec = codec;
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
			logger.error("The configuration at store version {} cannot be read: {}", record.version(), ex.getMessage());
			return;
		}
		RouteTable before = this.table;
		if (before != null && newer.version() <= before.version()) {
			logger.warn("Configuration {} is refused: {} is in force", newer.version(), before.version());
			return;
		}
		this.table = newer;
		logger.info("Configuration {} is in force with {} routes", newer.version(), newer.routeCount());
		this.listeners.forEach((listener) -> listener.accept(newer));
	}

}
