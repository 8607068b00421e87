package org.cyclamenstall.internal.peers;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.thrift.TException;
import org.cyclamenstall.claims.ClaimantClient;
import org.cyclamenstall.claims.ClaimantResponse;
import org.cyclamenstall.policy.DemandExchange;
import org.cyclamenstall.wire.CatalogueState;
import org.cyclamenstall.wire.ClaimQuery;
import org.cyclamenstall.wire.ClaimReport;
import org.cyclamenstall.wire.ExchangeRequest;
import org.cyclamenstall.wire.ExchangeResponse;
import org.cyclamenstall.wire.PeerRefusal;

/**
 * Calls peers over Thrift. If the response to an exchange shows that the peer lacks
 * catalogue records, a second request sends them immediately. Thread-safe; calls block
 * for a limited time.
 */
final class PeerClient implements ClaimantClient, AutoCloseable {

	private static final Logger logger = LogManager.getLogger(PeerClient.class);

	private final Supplier<PeerIdentity> self;

	private final MemberTable memberTable;

	private final MembershipTracker membership;

	private final PeerSecret secret;

	private final CatalogueSync catalogueSync;

	private final DemandExchange demand;

	private final DemandReportLimiter demandLimiter;

	private final PeerMetrics metrics;

	private final int timeoutMillis;

	private final Map<String, PeerConnection> connections = new ConcurrentHashMap<>();

	PeerClient(Supplier<PeerIdentity> self, MemberTable memberTable, MembershipTracker membership, PeerSecret secret,
			CatalogueSync catalogueSync, DemandExchange demand, DemandReportLimiter demandLimiter, PeerMetrics metrics,
			int timeoutMillis) {
		this.self = self;
		this.memberTable = memberTable;
		this.membership = membership;
		this.secret = secret;
		this.catalogueSync = catalogueSync;
		this.demand = demand;
		this.demandLimiter = demandLimiter;
		this.metrics = metrics;
		this.timeoutMillis = timeoutMillis;
	}

	/**
	 * Exchanges state with a peer and records the result in the member table and the
	 * metrics. If no endpoint of the peer is known, nothing is sent or recorded.
	 * @param host the host name of the peer
	 * @return the result of the exchange
	 */
	ExchangeResult exchange(String host) {
		Optional<PeerEndpoint> endpoint = this.memberTable.endpoint(host);
		if (endpoint.isEmpty()) {
			return ExchangeResult.SILENT;
		}
		this.memberTable.recordExchangeStart(host);
		ExchangeResult result = exchange(host, endpoint.get());
		if (result != ExchangeResult.ANSWERED) {
			this.memberTable.recordExchangeFailure(host);
		}
		this.metrics.recordExchange(result);
		return result;
	}

	@Override
	public ClaimantResponse query(String host, long incarnation, String attempt) {
		Optional<PeerEndpoint> endpoint = this.memberTable.endpoint(host);
		if (endpoint.isEmpty() || this.memberTable.incarnation(host) > incarnation) {
			return ClaimantResponse.UNKNOWN;
		}
		ClaimQuery query = new ClaimQuery(PeerMessages.toWire(this.self.get()), incarnation, attempt);
		query.setSecret(this.secret.value());
		try (PeerConnection connection = new PeerConnection(this.timeoutMillis, this.metrics)) {
			ClaimReport report = connection.call(endpoint.get(), (client) -> client.queryClaim(query));
			return (report.getClaimantIncarnation() == incarnation) ? PeerMessages.fromWire(report)
					: ClaimantResponse.UNKNOWN;
		}
		catch (TException ex) {
			logger.warn("Claim query to {} for attempt {} failed: {}", host, attempt, ex.toString());
			return ClaimantResponse.UNKNOWN;
		}
	}

	/**
	 * Closes the connection to a removed peer.
	 * @param host the host name of the peer
	 */
	void disconnect(String host) {
		PeerConnection connection = this.connections.remove(host);
		if (connection != null) {
			connection.close();
		}
	}

	@Override
	public void close() {
		this.connections.values().forEach(PeerConnection::close);
	}

	private ExchangeResult exchange(String host, PeerEndpoint endpoint) {
		PeerConnection connection = this.connections.computeIfAbsent(host,
				(newHost) -> new PeerConnection(this.timeoutMillis, this.metrics));
		try {
			ExchangeRequest request = createRequest(host);
			this.catalogueSync.addSummaryAndRecords(request, this.memberTable.catalogueRevision(host));
			ExchangeResponse response = connection.call(endpoint, (client) -> client.exchange(request));
			ExchangeResult result = handleResponse(host, response);
			if (result == ExchangeResult.ANSWERED && this.catalogueSync.isPeerBehind(response)) {
				CatalogueState peerState = response.isSetCatalogue() ? response.getCatalogue() : null;
				ExchangeRequest followUp = createRequest(host);
				this.catalogueSync.addMissingRecords(followUp, peerState);
				handleResponse(host, connection.call(endpoint, (client) -> client.exchange(followUp)));
			}
			return result;
		}
		catch (PeerRefusal ex) {
			logger.warn("Peer {} rejected an exchange: {}", host, ex.getReason());
			return ExchangeResult.REFUSED;
		}
		catch (TException ex) {
			logger.debug("Exchange with peer {} failed", host, ex);
			return ExchangeResult.SILENT;
		}
	}

	private ExchangeRequest createRequest(String host) {
		ExchangeRequest request = new ExchangeRequest(PeerMessages.toWire(this.self.get()));
		request.setSecret(this.secret.value());
		request.setLeaving(this.membership.isLeaving());
		request.setDemand(PeerMessages.toWire(this.demandLimiter.apply(this.demand.createDemandReport())));
		request.setNewcomer(this.memberTable.incarnation(host) == 0);
		return request;
	}

	private ExchangeResult handleResponse(String host, ExchangeResponse response) {
		PeerIdentity peer = PeerMessages.fromWire(response.getReceiver());
		if (!peer.host().equals(host)) {
			logger.warn("The endpoint of peer {} is served by host {}", host, peer.host());
			return ExchangeResult.MISMATCHED;
		}
		boolean leaving = response.isSetLeaving() && response.isLeaving();
		SenderCheckResult senderCheck = this.membership.onMessage(peer, leaving, response.getCatalogueRevision());
		if (senderCheck != SenderCheckResult.NEW && senderCheck != SenderCheckResult.KNOWN) {
			return ExchangeResult.MISMATCHED;
		}
		this.catalogueSync.applyRecords(response);
		if (response.isSetDemand()) {
			this.demand.updatePeerDemand(host, PeerMessages.fromWire(response.getDemand()));
		}
		if (response.isSetMembers()) {
			this.memberTable.addGossipedPeers(response.getMembers().stream().map(PeerMessages::fromWire).toList());
		}
		return ExchangeResult.ANSWERED;
	}

}
