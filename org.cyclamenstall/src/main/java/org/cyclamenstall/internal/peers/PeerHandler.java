package org.cyclamenstall.internal.peers;

import java.util.function.Supplier;

import org.cyclamenstall.claims.ClaimantAnswer;
import org.cyclamenstall.claims.PeerClaimSource;
import org.cyclamenstall.policy.DemandExchange;
import org.cyclamenstall.wire.ClaimQuery;
import org.cyclamenstall.wire.ClaimReport;
import org.cyclamenstall.wire.ExchangeRequest;
import org.cyclamenstall.wire.ExchangeResponse;
import org.cyclamenstall.wire.PeerRefusal;
import org.cyclamenstall.wire.PeerService;
import org.cyclamenstall.wire.RefusalReason;
import org.jspecify.annotations.Nullable;

/**
 * Answers the messages of peers. A message with a wrong secret, of an older incarnation
 * or with the name of this host changes nothing. Thread-safe; no method blocks.
 */
final class PeerHandler implements PeerService.Iface {

	private final Supplier<PeerIdentity> self;

	private final PeerSecret secret;

	private final PeerReceiver receiver;

	private final CatalogueSync catalogue;

	private final DemandExchange demand;

	private final DemandBound demandBound;

	private final PeerClaimSource claims;

	private final PeerMetrics metrics;

	PeerHandler(Supplier<PeerIdentity> self, PeerSecret secret, PeerReceiver receiver, CatalogueSync catalogue,
			DemandExchange demand, DemandBound demandBound, PeerClaimSource claims, PeerMetrics metrics) {
		this.self = self;
		this.secret = secret;
		this.receiver = receiver;
		this.catalogue = catalogue;
		this.demand = demand;
		this.demandBound = demandBound;
		this.claims = claims;
		this.metrics = metrics;
	}

	@Override
	public ExchangeResponse exchange(ExchangeRequest request) throws PeerRefusal {
		authorize(request.isSetSecret() ? request.getSecret() : null);
		PeerIdentity sender = PeerMessages.fromWire(request.getSender());
		boolean leaving = request.isSetLeaving() && request.isLeaving();
		accept(this.receiver.heard(sender, leaving, request.getCatalogueRevision()));
		this.catalogue.take(request);
		if (request.isSetDemand()) {
			this.demand.peerDemand(sender.host(), PeerMessages.fromWire(request.getDemand()));
		}
		return response(request);
	}

	@Override
	public ClaimReport queryClaim(ClaimQuery query) throws PeerRefusal {
		authorize(query.isSetSecret() ? query.getSecret() : null);
		long incarnation = this.self.get().incarnation();
		ClaimantAnswer answer = (query.getClaimantIncarnation() == incarnation)
				? this.claims.statusOf(query.getAttempt()) : ClaimantAnswer.UNKNOWN;
		return PeerMessages.toWire(incarnation, answer);
	}

	private ExchangeResponse response(ExchangeRequest request) {
		ExchangeResponse response = new ExchangeResponse(PeerMessages.toWire(this.self.get()));
		response.setLeaving(this.receiver.isLeaving());
		response.setDemand(PeerMessages.toWire(this.demandBound.apply(this.demand.localDemand())));
		this.catalogue.fill(response, request);
		if (request.isSetNewcomer() && request.isNewcomer()) {
			response.setMembers(this.receiver.identities().stream().map(PeerMessages::toWire).toList());
		}
		return response;
	}

	private void authorize(@Nullable String presented) throws PeerRefusal {
		if (!this.secret.matches(presented)) {
			throw refusal(RefusalReason.UNAUTHORIZED);
		}
	}

	private void accept(ContactResult result) throws PeerRefusal {
		switch (result) {
			case OLDER_INCARNATION -> throw refusal(RefusalReason.OLDER_INCARNATION);
			case SAME_HOST, SELF -> throw refusal(RefusalReason.SAME_HOST);
			default -> {
			}
		}
	}

	private PeerRefusal refusal(RefusalReason reason) {
		this.metrics.refused(reason);
		PeerRefusal refusal = new PeerRefusal();
		refusal.setReason(reason);
		return refusal;
	}

}
