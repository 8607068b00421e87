package org.cyclamenstall.internal.peers;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.thrift.TException;
import org.cyclamenstall.claims.ClaimantAnswer;
import org.cyclamenstall.claims.ClaimantQuery;
import org.cyclamenstall.policy.DemandExchange;
import org.cyclamenstall.wire.CatalogueState;
import org.cyclamenstall.wire.ClaimQuery;
import org.cyclamenstall.wire.ClaimReport;
import org.cyclamenstall.wire.ExchangeRequest;
import org.cyclamenstall.wire.ExchangeResponse;
import org.cyclamenstall.wire.PeerRefusal;

/**
 * Makes the calls to peers. An exchange in which the peer turns out to lack catalogue
 * records is followed at once by a second one that carries them. Thread-safe; calls block
 * for a bounded time.
 */
final class PeerCaller implements ClaimantQuery, AutoCloseable {

	private static final Logger logger = LogManager.getLogger(PeerCaller.class);

	private final Supplier<PeerIdentity> self;

	private final MemberTable table;

	private final PeerReceiver receiver;

	private final PeerSecret secret;

	private final CatalogueSync catalogue;

	private final DemandExchange demand;

	private final DemandBound demandBound;

	private final PeerMetrics metrics;

	private final int timeoutMillis;

	private final Map<String, PeerConnection> connections = new ConcurrentHashMap<>();

	PeerCaller(Supplier<PeerIdentity> self, MemberTable table, PeerReceiver receiver, PeerSecret secret,
			CatalogueSync catalogue, DemandExchange demand, DemandBound demandBound, PeerMetrics metrics,
			int timeoutMillis) {
		this.self = self;
		this.table = table;
		this.receiver = receiver;
		this.secret = secret;
		this.catalogue = catalogue;
		this.demand = demand;
		this.demandBound = demandBound;
		this.metrics = metrics;
		this.timeoutMillis = timeoutMillis;
	}

	/**
	 * Exchanges state with a peer.
	 * @param host the name of its host
	 * @return how the exchange ended
	 */
	ExchangeResult exchange(String host) {
		Optional<PeerEndpoint> endpoint = this.table.endpoint(host);
		if (endpoint.isEmpty()) {
			return ExchangeResult.SILENT;
		}
		this.table.tried(host);
		ExchangeResult result = exchange(host, endpoint.get());
		if (result != ExchangeResult.ANSWERED) {
			this.table.failed(host);
		}
		this.metrics.exchanged(result);
		return result;
	}

	@Override
	public ClaimantAnswer ask(String host, long incarnation, String attempt) {
		Optional<PeerEndpoint> endpoint = this.table.endpoint(host);
		if (endpoint.isEmpty() || this.table.incarnation(host) > incarnation) {
			return ClaimantAnswer.UNKNOWN;
		}
		ClaimQuery query = new ClaimQuery(PeerMessages.toWire(this.self.get()), incarnation, attempt);
		query.setSecret(this.secret.value());
		try (PeerConnection connection = new PeerConnection(this.timeoutMillis, this.metrics)) {
			ClaimReport report = connection.call(endpoint.get(), (client) -> client.queryClaim(query));
			return (report.getClaimantIncarnation() == incarnation) ? PeerMessages.fromWire(report)
					: ClaimantAnswer.UNKNOWN;
		}
		catch (TException ex) {
			logger.warn("Claimant {} did not answer for attempt {}: {}", host, attempt, ex.toString());
			return ClaimantAnswer.UNKNOWN;
		}
	}

	/**
	 * Drops the connection to a daemon that is forgotten.
	 * @param host the name of its host
	 */
	void forget(String host) {
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
				(name) -> new PeerConnection(this.timeoutMillis, this.metrics));
		try {
			ExchangeRequest request = request(host);
			this.catalogue.fill(request, this.table.catalogueRevision(host));
			ExchangeResponse response = connection.call(endpoint, (client) -> client.exchange(request));
			ExchangeResult result = take(host, response);
			if (result == ExchangeResult.ANSWERED && this.catalogue.isBehind(response)) {
				CatalogueState behind = response.isSetCatalogue() ? response.getCatalogue() : null;
				ExchangeRequest second = request(host);
				this.catalogue.fillMissing(second, behind);
				take(host, connection.call(endpoint, (client) -> client.exchange(second)));
			}
			return result;
		}
		catch (PeerRefusal ex) {
			logger.warn("Peer {} refused an exchange: {}", host, ex.getReason());
			return ExchangeResult.REFUSED;
		}
		catch (TException ex) {
			logger.debug("Peer {} did not answer an exchange", host, ex);
			return ExchangeResult.SILENT;
		}
	}

	private ExchangeRequest request(String host) {
		ExchangeRequest request = new ExchangeRequest(PeerMessages.toWire(this.self.get()));
		request.setSecret(this.secret.value());
		request.setLeaving(this.receiver.isLeaving());
		request.setDemand(PeerMessages.toWire(this.demandBound.apply(this.demand.localDemand())));
		request.setNewcomer(this.table.incarnation(host) == 0);
		return request;
	}

	private ExchangeResult take(String host, ExchangeResponse response) {
		PeerIdentity peer = PeerMessages.fromWire(response.getReceiver());
		if (!peer.host().equals(host)) {
			logger.warn("The endpoint of peer {} belongs to {}", host, peer.host());
			return ExchangeResult.MISMATCHED;
		}
		boolean leaving = response.isSetLeaving() && response.isLeaving();
		ContactResult contact = this.receiver.heard(peer, leaving, response.getCatalogueRevision());
		if (contact != ContactResult.NEW && contact != ContactResult.KNOWN) {
			return ExchangeResult.MISMATCHED;
		}
		this.catalogue.take(response);
		if (response.isSetDemand()) {
			this.demand.peerDemand(host, PeerMessages.fromWire(response.getDemand()));
		}
		if (response.isSetMembers()) {
			this.table.hearsay(response.getMembers().stream().map(PeerMessages::fromWire).toList());
		}
		return ExchangeResult.ANSWERED;
	}

}
