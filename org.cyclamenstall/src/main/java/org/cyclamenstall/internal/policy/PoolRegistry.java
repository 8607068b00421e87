package org.cyclamenstall.internal.policy;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.hosts.HostSnapshot;
import org.cyclamenstall.internal.policy.limits.LimitShare;
import org.cyclamenstall.internal.policy.limits.PeerDemand;

/**
 * Holds the pool of each service that was asked for, as of the last host list. Not
 * thread-safe: the controller's lock guards it.
 */
final class PoolRegistry {

	private final Map<String, ServicePool> pools = new HashMap<>();

	private final PolicySet policies;

	private final LimitShare share;

	private final PeerDemand peers;

	private HostSnapshot snapshot = HostSnapshot.EMPTY;

	PoolRegistry(PolicySet policies, LimitShare share, PeerDemand peers) {
		this.policies = policies;
		this.share = share;
		this.peers = peers;
	}

	Collection<ServicePool> all() {
		return this.pools.values();
	}

	ServicePool of(String service, long nowNanos) {
		ServicePool pool = this.pools.get(service);
		if (pool == null) {
			pool = new ServicePool(service, this.policies, this.share, this.peers);
			pool.listed(this.snapshot.hosts(service));
			pool.refresh(nowNanos);
			this.pools.put(service, pool);
		}
		return pool;
	}

	void listed(HostSnapshot newer, long nowNanos) {
		this.snapshot = newer;
		for (ServicePool pool : this.pools.values()) {
			pool.listed(newer.hosts(pool.service()));
			pool.refresh(nowNanos);
		}
	}

	List<UpstreamUse> upstreamUse(long nowNanos) {
		return this.pools.values()
			.stream()
			.flatMap((pool) -> pool.upstreamUse(nowNanos))
			.sorted(Comparator.comparing((UpstreamUse use) -> use.host().service())
				.thenComparing((use) -> use.host().host()))
			.toList();
	}

	void reportQueues(GaugeSink sink) {
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
				.forEach((upstream) -> sink.accept(pool.slotRules().allowed(upstream), upstream.host().host())));
	}

}
