package org.cyclamenstall.internal.follower;

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

import org.cyclamenstall.events.Event;
import org.cyclamenstall.events.EventLog;
import org.cyclamenstall.hosts.HostCodec;
import org.cyclamenstall.hosts.HostList;
import org.cyclamenstall.hosts.HostSnapshot;
import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.store.StoreChange;
import org.cyclamenstall.store.StoreRecord;
import org.jspecify.annotations.Nullable;

/**
 * Lists the upstreams that have a record in the store. While the store does not answer
 * the last list stands. A record that vanished around an outage may only have lapsed: its
 * upstream stays listed until the time is over in which living upstreams register again.
 * Thread-safe.
 */
public final class FollowedHostList implements HostList, StoreListener {

	/** How long after an outage a living upstream may take to register again. */
	private static final Duration REGISTRATION_TIME = Duration.ofMillis(2_200);

	private final List<Consumer<HostSnapshot>> listeners = new CopyOnWriteArrayList<>();

	private final Map<String, StoreRecord> records = new HashMap<>();

	private final Map<String, ListedHost> hosts = new LinkedHashMap<>();

	private final Set<String> lapsed = new HashSet<>();

	private final String prefix;

	private final HostCodec codec;

	private final MonotonicClock clock;

	private final EventLog events;

	private volatile HostSnapshot snapshot = HostSnapshot.EMPTY;

	private boolean storeLost;

	private boolean settling;

	private long regainedAtNanos;

	/**
	 * Creates an empty list.
	 * @param prefix the prefix of the keys that describe upstreams
	 * @param codec decodes the records
	 * @param clock the monotonic clock
	 * @param events takes the events
	 */
	public FollowedHostList(String prefix, HostCodec codec, MonotonicClock clock, EventLog events) {
		this.prefix = prefix;
		this.codec = codec;
		this.clock = clock;
		this.events = events;
	}

	@Override
	public HostSnapshot current() {
		return this.snapshot;
	}

	@Override
	public void addListener(Consumer<HostSnapshot> listener) {
		this.listeners.add(listener);
	}

	@Override
	public void watch(String service) {
	}

	@Override
	public synchronized void listed(List<StoreRecord> all) {
		Set<String> seen = new HashSet<>();
		boolean changed = false;
		for (StoreRecord record : all) {
			if (record.key().startsWith(this.prefix)) {
				seen.add(record.key());
				changed |= written(record);
			}
		}
		for (String key : List.copyOf(this.hosts.keySet())) {
			if (!seen.contains(key)) {
				changed |= removed(key);
			}
		}
		this.records.keySet().retainAll(seen);
		publishIf(changed);
	}

	@Override
	public synchronized void changed(StoreChange change) {
		if (!change.key().startsWith(this.prefix)) {
			return;
		}
		StoreRecord known = this.records.get(change.key());
		if (known != null && known.version() >= change.version()) {
			return;
		}
		StoreRecord record = change.record();
		if (record != null) {
			publishIf(written(record));
			return;
		}
		this.records.remove(change.key());
		publishIf(removed(change.key()));
	}

	@Override
	public synchronized void lost() {
		this.storeLost = true;
	}

	@Override
	public synchronized void regained() {
		this.storeLost = false;
		this.settling = true;
		this.regainedAtNanos = this.clock.nanoTime();
	}

	@Override
	public synchronized void settled() {
		if (!this.settling || this.storeLost
				|| this.clock.nanoTime() - this.regainedAtNanos < REGISTRATION_TIME.toNanos()) {
			return;
		}
		this.settling = false;
		boolean changed = false;
		for (String key : this.lapsed) {
			changed |= drop(key, "it did not register again after the outage of the store");
		}
		this.lapsed.clear();
		publishIf(changed);
	}

	private boolean written(StoreRecord record) {
		this.records.put(record.key(), record);
		this.lapsed.remove(record.key());
		Optional<ListedHost> host = this.codec.decode(record);
		if (host.isEmpty()) {
			this.events.record(new Event.UpstreamRecordUnreadable(record.key(), record.version()));
			return drop(record.key(), "its record is unreadable");
		}
		ListedHost before = this.hosts.put(record.key(), host.get());
		if (host.get().equals(before)) {
			return false;
		}
		this.events.record(listedEvent(host.get(), record.version()));
		return true;
	}

	private boolean removed(String key) {
		if (!this.hosts.containsKey(key)) {
			return false;
		}
		if (this.storeLost || this.settling) {
			this.lapsed.add(key);
			return false;
		}
		return drop(key, "it has no record any more");
	}

	private boolean drop(String key, String reason) {
		@Nullable ListedHost dropped = this.hosts.remove(key);
		if (dropped == null) {
			return false;
		}
		this.events.record(new Event.UpstreamGone(dropped.host(), dropped.service(), reason));
		return true;
	}

	private static Event listedEvent(ListedHost host, long storeVersion) {
		return new Event.UpstreamListed(host.host(), host.service(), host.address() + ":" + host.port(),
				host.state().name().toLowerCase(Locale.ROOT), storeVersion);
	}

	private void publishIf(boolean changed) {
		if (!changed) {
			return;
		}
		Map<String, List<ListedHost>> byService = new HashMap<>();
		this.hosts.values()
			.forEach((host) -> byService.computeIfAbsent(host.service(), (service) -> new ArrayList<>()).add(host));
		HostSnapshot published = new HostSnapshot(byService);
		this.snapshot = published;
		this.listeners.forEach((listener) -> listener.accept(published));
	}

}
