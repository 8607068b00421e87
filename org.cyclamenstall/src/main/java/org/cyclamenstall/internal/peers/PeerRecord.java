package org.cyclamenstall.internal.peers;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.cyclamenstall.peers.Member;
import org.cyclamenstall.peers.MemberState;
import org.jspecify.annotations.Nullable;

/**
 * Holds what is known of one other daemon. Guarded by {@link MemberTable}.
 */
final class PeerRecord {

	private static final int FAILURES_OF_SUSPECT = 2;

	private final String host;

	private final Map<EndpointSource, PeerEndpoint> endpoints = new EnumMap<>(EndpointSource.class);

	private @Nullable PeerIdentity identity;

	private boolean leaving;

	private int failures;

	private long lastHeardNanos;

	private long lastTriedNanos;

	private long catalogueRevision;

	PeerRecord(String host, long nowNanos) {
		this.host = host;
		this.lastHeardNanos = nowNanos;
		this.lastTriedNanos = nowNanos;
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

	void identify(PeerIdentity identity) {
		if (identity.incarnation() != incarnation()) {
			this.leaving = false;
			this.catalogueRevision = 0;
		}
		this.identity = identity;
		setEndpoint(EndpointSource.REPORTED, identity.endpoint());
	}

	void forgetIdentity() {
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

	boolean isListedOrSeeded() {
		return this.endpoints.containsKey(EndpointSource.LISTED) || this.endpoints.containsKey(EndpointSource.SEEDED);
	}

	@Nullable PeerEndpoint endpoint() {
		List<PeerEndpoint> distinct = this.endpoints.values().stream().distinct().toList();
		return distinct.isEmpty() ? null : distinct.get(this.failures % distinct.size());
	}

	void heard(long nowNanos, boolean leaving, long revision) {
		this.failures = 0;
		this.lastHeardNanos = nowNanos;
		this.leaving = this.leaving || leaving;
		this.catalogueRevision = Math.max(this.catalogueRevision, revision);
	}

	void failed() {
		this.failures++;
	}

	void tried(long nowNanos) {
		this.lastTriedNanos = nowNanos;
	}

	long silenceNanos(long nowNanos) {
		return nowNanos - this.lastHeardNanos;
	}

	long sinceTriedNanos(long nowNanos) {
		return nowNanos - this.lastTriedNanos;
	}

	long catalogueRevision() {
		return this.catalogueRevision;
	}

	MemberState state() {
		if (this.leaving) {
			return MemberState.LEAVING;
		}
		return (this.identity == null || this.failures >= FAILURES_OF_SUSPECT) ? MemberState.SUSPECT
				: MemberState.ALIVE;
	}

	boolean answersNow() {
		return this.failures < FAILURES_OF_SUSPECT;
	}

	Member toMember() {
		PeerEndpoint endpoint = endpoint();
		return new Member(this.host, incarnation(), (this.identity != null) ? this.identity.failureDomain() : "",
				(endpoint != null) ? endpoint.address() : "", (endpoint != null) ? endpoint.port() : 0, state(),
				this.catalogueRevision);
	}

}
