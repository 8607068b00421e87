package org.cyclamenstall.internal.peers;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.catalogue.CatalogueRecord;
import org.cyclamenstall.catalogue.CatalogueReplica;
import org.cyclamenstall.catalogue.CatalogueSummary;
import org.cyclamenstall.wire.CatalogueItem;
import org.cyclamenstall.wire.CatalogueState;
import org.cyclamenstall.wire.ExchangeRequest;
import org.cyclamenstall.wire.ExchangeResponse;
import org.jspecify.annotations.Nullable;

/**
 * Decides which catalogue records travel in an exchange. Records are sent as all those
 * after a revision, and are taken only by a daemon that holds everything up to there, so
 * that the revision which a daemon reports never hides a missing record. Two daemons with
 * the same revision and different digests exchange all records. Thread-safe.
 */
final class CatalogueSync {

	private static final Logger logger = LogManager.getLogger(CatalogueSync.class);

	private final CatalogueReplica catalogue;

	CatalogueSync(CatalogueReplica catalogue) {
		this.catalogue = catalogue;
	}

	long revision() {
		return this.catalogue.summary().revision();
	}

	/**
	 * Fills in the summary and, if the receiver is known to be behind, the records.
	 * @param request the request
	 * @param peerRevision the revision that the receiver last reported; zero if unknown
	 */
	void fill(ExchangeRequest request, long peerRevision) {
		CatalogueState state = state();
		if (state == null) {
			return;
		}
		request.setCatalogue(state);
		request.setCatalogueRevision(state.getRevision());
		if (peerRevision > 0 && peerRevision < state.getRevision()) {
			attach(request, peerRevision);
		}
	}

	/**
	 * Fills in the summary and all records that the receiver of a second request lacks.
	 * @param request the request
	 * @param receiver the summary of the receiver, or {@code null} if it has none
	 */
	void fillMissing(ExchangeRequest request, @Nullable CatalogueState receiver) {
		CatalogueState state = state();
		if (state != null) {
			request.setCatalogue(state);
			request.setCatalogueRevision(state.getRevision());
			attach(request, (receiver != null) ? receiver.getRevision() : 0);
		}
	}

	/**
	 * Returns whether a peer lacks records that this daemon holds.
	 * @param response the response of the peer
	 * @return {@code true} if a second request should carry them
	 */
	boolean isBehind(ExchangeResponse response) {
		CatalogueState own = state();
		if (own == null) {
			return false;
		}
		return !response.isSetCatalogue() || response.getCatalogue().getRevision() < own.getRevision();
	}

	/**
	 * Fills in the summary and the records that the sender of a request lacks.
	 * @param response the response
	 * @param request the request
	 */
	void fill(ExchangeResponse response, ExchangeRequest request) {
		CatalogueState own = state();
		if (own == null) {
			return;
		}
		response.setCatalogue(own);
		response.setCatalogueRevision(own.getRevision());
		CatalogueState theirs = request.isSetCatalogue() ? request.getCatalogue() : null;
		if (theirs == null || (theirs.getRevision() == own.getRevision() && theirs.getDigest() != own.getDigest())) {
			attach(response, 0);
		}
		else if (theirs.getRevision() < own.getRevision()) {
			attach(response, theirs.getRevision());
		}
	}

	/**
	 * Takes the records of a request.
	 * @param request the request
	 */
	void take(ExchangeRequest request) {
		if (request.isSetRecords()) {
			take(request.getRecords(), request.getRecordsAfter(), request.getSender().getHost());
		}
	}

	/**
	 * Takes the records of a response.
	 * @param response the response
	 */
	void take(ExchangeResponse response) {
		if (response.isSetRecords()) {
			take(response.getRecords(), response.getRecordsAfter(), response.getReceiver().getHost());
		}
	}

	private void take(List<CatalogueItem> items, long after, String host) {
		List<CatalogueRecord> records = readable(items, host);
		boolean whole = after == 0 && records.size() == items.size();
		boolean follows = this.catalogue.isLoaded() && revision() >= after;
		if (!whole && !follows) {
			logger.debug("Left {} records of peer {}: they start after revision {}", records.size(), host, after);
			return;
		}
		int newer = this.catalogue.offer(records, "peer " + host);
		if (newer > 0) {
			logger.info("Took {} newer catalogue records from peer {}", newer, host);
		}
	}

	/**
	 * Reads records up to the first one that this version cannot read; later ones would
	 * hide that it is missing.
	 * @param items the records in order of revision
	 * @param host the name of the peer's host
	 * @return the records before the first unreadable one
	 */
	private static List<CatalogueRecord> readable(List<CatalogueItem> items, String host) {
		List<CatalogueRecord> records = new ArrayList<>(items.size());
		for (CatalogueItem item : items) {
			try {
				records.add(PeerMessages.fromWire(item));
			}
			catch (IOException ex) {
				logger.warn("The catalogue record of peer {} at revision {} cannot be read: {}", host,
						item.getRevision(), ex.toString());
				return records;
			}
		}
		return records;
	}

	private void attach(ExchangeRequest request, long after) {
		request.setRecords(PeerMessages.toWire(this.catalogue.recordsAfter(after)));
		request.setRecordsAfter(after);
	}

	private void attach(ExchangeResponse response, long after) {
		response.setRecords(PeerMessages.toWire(this.catalogue.recordsAfter(after)));
		response.setRecordsAfter(after);
	}

	private @Nullable CatalogueState state() {
		if (!this.catalogue.isLoaded()) {
			return null;
		}
		CatalogueSummary summary = this.catalogue.summary();
		return new CatalogueState(summary.revision(), summary.digest());
	}

}
