package org.cyclamenstall.internal.watch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.events.Event;
import org.cyclamenstall.events.EventLog;
import org.cyclamenstall.hosts.HostCodec;
import org.cyclamenstall.hosts.HostList;
import org.cyclamenstall.hosts.HostSnapshot;
import org.cyclamenstall.hosts.HostState;
import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.store.StoreChange;
import org.cyclamenstall.store.StoreListing;
import org.cyclamenstall.store.StoreRecord;
import org.jspecify.annotations.Nullable;

/**
 * Lists the upstreams that have a record in the store. While the store is unavailable,
 * the last list is kept. A record that disappears during an outage or shortly after it
 * may only have expired, so its upstream stays listed for a grace period in which it can
 * register again. Meanwhile it is listed as leaving, unless so many records of its
 * service disappeared that the outage is the likely cause. The same holds after the store
 * was restored from an older copy; records of the copy that are older than what is known
 * of their upstreams, among them those that have left, are ignored until they are written
 * again. Thread-safe.
 */
public final class WatchedHostList implements HostList, StoreListener {

	private static final Logger logger = LogManager.getLogger(WatchedHostList.class);

	/**
	 * Time that a running upstream has to register again after an outage of the store.
	 */
	private static final Duration REGISTRATION_GRACE_PERIOD = Duration.ofMillis(2_200);

	/**
	 * Share of the records of a service up to which disappeared ones are taken for hosts
	 * that left.
	 */
	private static final double MAXIMUM_LEAVING_SHARE = 1.0 / 3;

	private final List<Consumer<HostSnapshot>> listeners = new CopyOnWriteArrayList<>();

	private final Map<String, StoreRecord> records = new HashMap<>();

	private final Map<String, ListedHost> hosts = new LinkedHashMap<>();

	private final Set<String> pendingRemovals = new HashSet<>();

	/** Last records of upstreams that have left. */
	private final Map<String, StoreRecord> formerRecords = new FormerRecords();

	/** Versions of the records that are ignored because a restore brought them back. */
	private final Map<String, Long> ignoredVersions = new HashMap<>();

	private final String prefix;

	private final HostCodec codec;

	private final MonotonicClock clock;

	private final EventLog events;

	private volatile HostSnapshot snapshot = HostSnapshot.EMPTY;

	private volatile boolean listed;

	private boolean storeUnavailable;

	private boolean inGracePeriod;

	private long recoveredAtNanos;

	private boolean restored;

	/**
	 * Creates an empty list.
	 * @param prefix the key prefix of the upstream records
	 * @param codec decodes the records
	 * @param clock the monotonic clock
	 * @param events the event log
	 */
	public WatchedHostList(String prefix, HostCodec codec, MonotonicClock clock, EventLog events) {
		this.prefix = prefix;
		this.codec = codec;
		this.clock = clock;
		this.events = events;
	}

	@Override
	public HostSnapshot current() {
		return this.snapshot;
	}

	/**
	 * Returns whether the records have been listed.
	 * @return {@code true} after the first listing
	 */
	public boolean isListed() {
		return this.listed;
	}

	@Override
	public void addListener(Consumer<HostSnapshot> listener) {
		this.listeners.add(listener);
	}

	@Override
	public void watch(String service) {
		// The records below the prefix describe the upstreams of all services.
	}

	@Override
	public synchronized void onListing(StoreListing listing) {
		Set<String> listedKeys = new HashSet<>();
		boolean changed = false;
		for (StoreRecord record : listing.records()) {
			if (record.key().startsWith(this.prefix)) {
				listedKeys.add(record.key());
				changed |= !isIgnored(record) && applyRecord(record);
			}
		}
		this.restored = false;
		this.ignoredVersions.keySet().retainAll(listedKeys);
		for (String key : List.copyOf(this.hosts.keySet())) {
			if (!listedKeys.contains(key)) {
				changed |= applyRemoval(key);
			}
		}
		for (String key : List.copyOf(this.records.keySet())) {
			if (!listedKeys.contains(key)) {
				forget(key);
			}
		}
		publishIfChanged(changed);
		this.listed = true;
	}

	// After a restore, what a host states of itself tells which of its records is newer.
	private boolean isIgnored(StoreRecord record) {
		Long ignoredVersion = this.ignoredVersions.get(record.key());
		if (ignoredVersion != null && ignoredVersion == record.version()) {
			return true;
		}
		StoreRecord known = this.records.get(record.key());
		StoreRecord former = this.formerRecords.get(record.key());
		boolean older = (known != null) ? this.codec.compareAge(record, known) < 0
				: former != null && this.codec.compareAge(record, former) <= 0;
		if (!this.restored || !older) {
			return false;
		}
		logger.info("Ignoring the record {} of an older copy of the store", record.key());
		this.ignoredVersions.put(record.key(), record.version());
		return true;
	}

	@Override
	public synchronized void onChange(StoreChange change) {
		if (!change.key().startsWith(this.prefix)) {
			return;
		}
		StoreRecord knownRecord = this.records.get(change.key());
		if (knownRecord != null && knownRecord.version() >= change.version()) {
			return;
		}
		StoreRecord record = change.record();
		if (record != null) {
			this.ignoredVersions.remove(record.key());
			publishIfChanged(applyRecord(record));
			return;
		}
		forget(change.key());
		publishIfChanged(applyRemoval(change.key()));
	}

	@Override
	public synchronized void onStoreLost() {
		this.storeUnavailable = true;
	}

	@Override
	public synchronized void onStoreRecovered() {
		this.storeUnavailable = false;
		this.inGracePeriod = true;
		this.recoveredAtNanos = this.clock.nanoTime();
	}

	@Override
	public synchronized void onStoreRestored() {
		onStoreRecovered();
		this.restored = true;
	}

	@Override
	public synchronized @Nullable Duration maximumPollTime() {
		if (!this.inGracePeriod || this.storeUnavailable || this.pendingRemovals.isEmpty()) {
			return null;
		}
		return Duration.ofNanos(Math.max(0, remainingGraceNanos())).plusMillis(1);
	}

	@Override
	public synchronized void onPollCompleted() {
		if (!this.inGracePeriod || this.storeUnavailable || remainingGraceNanos() > 0) {
			return;
		}
		this.inGracePeriod = false;
		boolean changed = false;
		for (String key : this.pendingRemovals) {
			changed |= removeHost(key, "it did not register again after the store outage");
		}
		this.pendingRemovals.clear();
		publishIfChanged(changed);
	}

	private long remainingGraceNanos() {
		return REGISTRATION_GRACE_PERIOD.toNanos() - (this.clock.nanoTime() - this.recoveredAtNanos);
	}

	private void forget(String key) {
		StoreRecord record = this.records.remove(key);
		if (record != null) {
			this.formerRecords.put(key, record);
		}
	}

	private boolean applyRecord(StoreRecord record) {
		this.records.put(record.key(), record);
		this.formerRecords.remove(record.key());
		boolean wasPending = this.pendingRemovals.remove(record.key());
		Optional<ListedHost> host = this.codec.decode(record);
		if (host.isEmpty()) {
			this.events.record(new Event.UpstreamRecordUnreadable(record.key(), record.version()));
			return removeHost(record.key(), "its record is unreadable");
		}
		ListedHost previous = this.hosts.put(record.key(), host.get());
		if (host.get().equals(previous)) {
			return wasPending;
		}
		this.events.record(listedEvent(host.get(), record.version()));
		return true;
	}

	private boolean applyRemoval(String key) {
		if (!this.hosts.containsKey(key)) {
			return false;
		}
		if (this.storeUnavailable || this.inGracePeriod) {
			return this.pendingRemovals.add(key);
		}
		return removeHost(key, "it has no record any more");
	}

	private boolean removeHost(String key, String reason) {
		@Nullable ListedHost removedHost = this.hosts.remove(key);
		if (removedHost == null) {
			return false;
		}
		this.events.record(new Event.UpstreamGone(removedHost.host(), removedHost.service(), reason));
		return true;
	}

	private static Event listedEvent(ListedHost host, long storeVersion) {
		return new Event.UpstreamListed(host.host(), host.service(), host.address() + ":" + host.port(),
				host.state().name().toLowerCase(Locale.ROOT), storeVersion);
	}

	private void publishIfChanged(boolean changed) {
		if (!changed) {
			return;
		}
		Map<String, Integer> hostCounts = new HashMap<>();
		Map<String, Integer> pendingCounts = new HashMap<>();
		this.hosts.forEach((key, host) -> {
			hostCounts.merge(host.service(), 1, Integer::sum);
			pendingCounts.merge(host.service(), this.pendingRemovals.contains(key) ? 1 : 0, Integer::sum);
		});
		Map<String, List<ListedHost>> byService = new HashMap<>();
		this.hosts.forEach((key, host) -> {
			boolean leaving = this.pendingRemovals.contains(key)
					&& pendingCounts.get(host.service()) <= hostCounts.get(host.service()) * MAXIMUM_LEAVING_SHARE;
			byService.computeIfAbsent(host.service(), (service) -> new ArrayList<>())
				.add(leaving ? host.withState(HostState.LEAVING) : host);
		});
		HostSnapshot newSnapshot = new HostSnapshot(byService);
		this.snapshot = newSnapshot;
		this.listeners.forEach((listener) -> notifyListener(listener, newSnapshot));
	}

	// An exception of a listener is no failure of the store, and the records would not
	// count as changed in the next listing.
	private static void notifyListener(Consumer<HostSnapshot> listener, HostSnapshot newSnapshot) {
		try {
			listener.accept(newSnapshot);
		}
		catch (RuntimeException ex) {
			logger.error("A listener of the host list threw an exception", ex);
		}
	}

	/**
	 * The newest records of upstreams that have left, up to a maximum number.
	 */
	private static final class FormerRecords extends LinkedHashMap<String, StoreRecord> {

		private static final int MAXIMUM_RECORDS = 4_096;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, StoreRecord> eldest) {
			return size() > MAXIMUM_RECORDS;
		}

	}

}
