package org.cyclamenstall.internal.policy;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.hosts.HostSnapshot;
import org.cyclamenstall.internal.policy.limits.DemandTracker;
import org.cyclamenstall.internal.policy.limits.ShareAllocator;

/**
 * Holds one pool per service and applies each new host list to the pools. Not
 * thread-safe: guarded by the controller's lock.
 */
final class PoolRegistry {

	private final Map<String, ServicePool> pools = new HashMap<>();

	private final PolicyFactory policies;

	private final ShareAllocator allocator;

	private final DemandTracker demandTracker;

	private HostSnapshot snapshot = HostSnapshot.EMPTY;

	PoolRegistry(PolicyFactory policies, ShareAllocator allocator, DemandTracker demandTracker) {
		this.policies = policies;
		this.allocator = allocator;
		this.demandTracker = demandTracker;
	}

	Collection<ServicePool> all() {
		return this.pools.values();
	}

	ServicePool getOrCreate(String service, long nowNanos) {
		ServicePool pool = this.pools.get(service);
		if (pool == null) {
			pool = new ServicePool(service, this.policies, this.allocator, this.demandTracker);
			pool.updateHosts(this.snapshot.hosts(service));
			pool.refresh(nowNanos);
			this.pools.put(service, pool);
		}
		return pool;
	}

	void updateHosts(HostSnapshot newSnapshot, long nowNanos) {
		this.snapshot = newSnapshot;
		for (ServicePool pool : this.pools.values()) {
			pool.updateHosts(newSnapshot.hosts(pool.service()));
			pool.refresh(nowNanos);
		}
	}

	List<UpstreamStatus> upstreamStatuses(long nowNanos) {
		return this.pools.values()
			.stream()
			.flatMap((pool) -> pool.upstreamStatuses(nowNanos))
			.sorted(Comparator.comparing((UpstreamStatus status) -> status.host().service())
				.thenComparing((status) -> status.host().host()))
			.toList();
	}

	void reportQueueLengths(GaugeSink sink) {
		for (ServicePool pool : this.pools.values()) {
			for (Tier tier : Tier.values()) {
				sink.accept(pool.queue().size(tier), pool.service(), tier.label());
			}
		}
	}

	void reportInFlight(GaugeSink sink) {
		this.pools.values()
			.forEach((pool) -> pool.upstreams()
				.forEach((upstream) -> sink.accept(upstream.inFlight(), upstream.host().host())));
	}

	void reportWindows(GaugeSink sink) {
		this.pools.values()
			.forEach((pool) -> pool.upstreams()
				.forEach((upstream) -> sink.accept(pool.slotPolicy().maximumInFlight(upstream),
						upstream.host().host())));
	}

}
