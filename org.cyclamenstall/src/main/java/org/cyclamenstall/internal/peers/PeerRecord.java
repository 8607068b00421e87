package org.cyclamenstall.internal.peers;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.cyclamenstall.peers.Member;
import org.cyclamenstall.peers.MemberState;
import org.jspecify.annotations.Nullable;

/**
 * Holds the endpoints and the state of one other daemon. Guarded by {@link MemberTable}.
 */
final class PeerRecord {

	private static final int SUSPECT_FAILURE_THRESHOLD = 2;

	private final String host;

	private final Map<EndpointSource, PeerEndpoint> endpoints = new EnumMap<>(EndpointSource.class);

	private @Nullable PeerIdentity identity;

	private boolean leaving;

	private int consecutiveFailures;

	private long lastMessageNanos;

	private long lastExchangeNanos;

	private long catalogueRevision;

	PeerRecord(String host, long nowNanos) {
		this.host = host;
		this.lastMessageNanos = nowNanos;
		this.lastExchangeNanos = nowNanos;
	}

	String host() {
		return this.host;
	}

	long incarnation() {
		return (this.identity != null) ? this.identity.incarnation() : 0;
	}

	@Nullable PeerIdentity identity() {
		return this.identity;
	}

	void setIdentity(PeerIdentity identity) {
		if (identity.incarnation() != incarnation()) {
			this.leaving = false;
			this.catalogueRevision = 0;
		}
		this.identity = identity;
		setEndpoint(EndpointSource.REPORTED, identity.endpoint());
	}

	void clearIdentity() {
		this.identity = null;
		this.catalogueRevision = 0;
		setEndpoint(EndpointSource.REPORTED, null);
	}

	void setEndpoint(EndpointSource source, @Nullable PeerEndpoint endpoint) {
		if (endpoint != null) {
			this.endpoints.put(source, endpoint);
		}
		else {
			this.endpoints.remove(source);
		}
	}

	boolean isListedOrSeed() {
		return this.endpoints.containsKey(EndpointSource.LISTED) || this.endpoints.containsKey(EndpointSource.SEED);
	}

	@Nullable PeerEndpoint endpoint() {
		List<PeerEndpoint> distinct = this.endpoints.values().stream().distinct().toList();
		return distinct.isEmpty() ? null : distinct.get(this.consecutiveFailures % distinct.size());
	}

	void recordMessage(long nowNanos, boolean leaving, long revision) {
		this.consecutiveFailures = 0;
		this.lastMessageNanos = nowNanos;
		this.leaving = this.leaving || leaving;
		this.catalogueRevision = Math.max(this.catalogueRevision, revision);
	}

	void recordExchangeFailure() {
		this.consecutiveFailures++;
	}

	void recordExchangeStart(long nowNanos) {
		this.lastExchangeNanos = nowNanos;
	}

	long nanosSinceLastMessage(long nowNanos) {
		return nowNanos - this.lastMessageNanos;
	}

	long nanosSinceLastExchange(long nowNanos) {
		return nowNanos - this.lastExchangeNanos;
	}

	long catalogueRevision() {
		return this.catalogueRevision;
	}

	MemberState state() {
		if (this.leaving) {
			return MemberState.LEAVING;
		}
		return (this.identity == null || this.consecutiveFailures >= SUSPECT_FAILURE_THRESHOLD) ? MemberState.SUSPECT
				: MemberState.ALIVE;
	}

	boolean isReachable() {
		return this.consecutiveFailures < SUSPECT_FAILURE_THRESHOLD;
	}

	Member toMember() {
		PeerEndpoint endpoint = endpoint();
		return new Member(this.host, incarnation(), (this.identity != null) ? this.identity.failureDomain() : "",
				(endpoint != null) ? endpoint.address() : "", (endpoint != null) ? endpoint.port() : 0, state(),
				this.catalogueRevision);
	}

}
