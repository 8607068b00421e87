package org.cyclamenstall.internal.peers;

import java.util.function.Supplier;

import org.cyclamenstall.claims.ClaimStatusSource;
import org.cyclamenstall.claims.ClaimantResponse;
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
 * Handles the requests of peers. A request with a wrong secret is rejected and has no
 * effect. So is an exchange request from an older incarnation or with the host name of
 * this daemon. Thread-safe; no method blocks.
 */
final class PeerHandler implements PeerService.Iface {

	private final Supplier<PeerIdentity> self;

	private final PeerSecret secret;

	private final MembershipTracker membership;

	private final CatalogueSync catalogueSync;

	private final DemandExchange demand;

	private final DemandReportLimiter demandLimiter;

	private final ClaimStatusSource claims;

	private final PeerMetrics metrics;

	PeerHandler(Supplier<PeerIdentity> self, PeerSecret secret, MembershipTracker membership,
			CatalogueSync catalogueSync, DemandExchange demand, DemandReportLimiter demandLimiter,
			ClaimStatusSource claims, PeerMetrics metrics) {
		this.self = self;
		this.secret = secret;
		this.membership = membership;
		this.catalogueSync = catalogueSync;
		this.demand = demand;
		this.demandLimiter = demandLimiter;
		this.claims = claims;
		this.metrics = metrics;
	}

	@Override
	public ExchangeResponse exchange(ExchangeRequest request) throws PeerRefusal {
		requireSecret(request.isSetSecret() ? request.getSecret() : null);
		PeerIdentity sender = PeerMessages.fromWire(request.getSender());
		boolean leaving = request.isSetLeaving() && request.isLeaving();
		requireAccepted(this.membership.onMessage(sender, leaving, request.getCatalogueRevision()));
		this.catalogueSync.applyRecords(request);
		if (request.isSetDemand()) {
			this.demand.updatePeerDemand(sender.host(), PeerMessages.fromWire(request.getDemand()));
		}
		return createResponse(request);
	}

	@Override
	public ClaimReport queryClaim(ClaimQuery query) throws PeerRefusal {
		requireSecret(query.isSetSecret() ? query.getSecret() : null);
		long incarnation = this.self.get().incarnation();
		ClaimantResponse claimantResponse = (query.getClaimantIncarnation() == incarnation)
				? this.claims.statusOf(query.getAttempt()) : ClaimantResponse.UNKNOWN;
		return PeerMessages.toWire(incarnation, claimantResponse);
	}

	private ExchangeResponse createResponse(ExchangeRequest request) {
		ExchangeResponse response = new ExchangeResponse(PeerMessages.toWire(this.self.get()));
		response.setLeaving(this.membership.isLeaving());
		response.setDemand(PeerMessages.toWire(this.demandLimiter.apply(this.demand.createDemandReport())));
		this.catalogueSync.addSummaryAndRecords(response, request);
		if (request.isSetNewcomer() && request.isNewcomer()) {
			response.setMembers(this.membership.identities().stream().map(PeerMessages::toWire).toList());
		}
		return response;
	}

	private void requireSecret(@Nullable String presentedSecret) throws PeerRefusal {
		if (!this.secret.matches(presentedSecret)) {
			throw createRefusal(RefusalReason.UNAUTHORIZED);
		}
	}

	private void requireAccepted(SenderCheckResult result) throws PeerRefusal {
		switch (result) {
			case OLDER_INCARNATION -> throw createRefusal(RefusalReason.OLDER_INCARNATION);
			case SAME_HOST, SELF -> throw createRefusal(RefusalReason.SAME_HOST);
			default -> {
			}
		}
	}

	private PeerRefusal createRefusal(RefusalReason reason) {
		this.metrics.recordRefusal(reason);
		PeerRefusal refusal = new PeerRefusal();
		refusal.setReason(reason);
		return refusal;
	}

}
