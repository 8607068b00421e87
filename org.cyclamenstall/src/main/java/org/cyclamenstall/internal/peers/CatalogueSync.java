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
 * Selects the catalogue records to send in an exchange and applies the received ones. A
 * sender includes all records after a given revision, and a receiver applies them only if
 * it already has every record up to that revision. A daemon that reports a revision
 * therefore has no gap below it. If the sender of a request reports the same revision
 * with another digest, the response contains all records. Thread-safe.
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
	 * Adds the catalogue summary to a request and, if the peer is known to be behind, the
	 * records that it lacks.
	 * @param request the request
	 * @param peerRevision the highest revision reported by the peer; zero if unknown
	 */
	void addSummaryAndRecords(ExchangeRequest request, long peerRevision) {
		CatalogueState local = localState();
		if (local == null) {
			return;
		}
		request.setCatalogue(local);
		request.setCatalogueRevision(local.getRevision());
		if (peerRevision > 0 && peerRevision < local.getRevision()) {
			addRecords(request, peerRevision);
		}
	}

	/**
	 * Adds the catalogue summary and all records that the peer lacks to a follow-up
	 * request.
	 * @param request the request
	 * @param peerState the catalogue summary of the peer, or {@code null} if its
	 * catalogue is not loaded
	 */
	void addMissingRecords(ExchangeRequest request, @Nullable CatalogueState peerState) {
		CatalogueState local = localState();
		if (local != null) {
			request.setCatalogue(local);
			request.setCatalogueRevision(local.getRevision());
			addRecords(request, (peerState != null) ? peerState.getRevision() : 0);
		}
	}

	/**
	 * Returns whether a peer lacks records that this daemon has.
	 * @param response the response of the peer
	 * @return {@code true} if a follow-up request should send them
	 */
	boolean isPeerBehind(ExchangeResponse response) {
		CatalogueState local = localState();
		if (local == null) {
			return false;
		}
		return !response.isSetCatalogue() || response.getCatalogue().getRevision() < local.getRevision();
	}

	/**
	 * Adds the catalogue summary and the records that the sender of a request lacks to a
	 * response.
	 * @param response the response
	 * @param request the request
	 */
	void addSummaryAndRecords(ExchangeResponse response, ExchangeRequest request) {
		CatalogueState local = localState();
		if (local == null) {
			return;
		}
		response.setCatalogue(local);
		response.setCatalogueRevision(local.getRevision());
		CatalogueState remote = request.isSetCatalogue() ? request.getCatalogue() : null;
		if (remote == null
				|| (remote.getRevision() == local.getRevision() && remote.getDigest() != local.getDigest())) {
			addRecords(response, 0);
		}
		else if (remote.getRevision() < local.getRevision()) {
			addRecords(response, remote.getRevision());
		}
	}

	/**
	 * Applies the records of a request.
	 * @param request the request
	 */
	void applyRecords(ExchangeRequest request) {
		if (request.isSetRecords()) {
			applyRecords(request.getRecords(), request.getRecordsAfter(), request.getSender().getHost());
		}
	}

	/**
	 * Applies the records of a response.
	 * @param response the response
	 */
	void applyRecords(ExchangeResponse response) {
		if (response.isSetRecords()) {
			applyRecords(response.getRecords(), response.getRecordsAfter(), response.getReceiver().getHost());
		}
	}

	private void applyRecords(List<CatalogueItem> items, long afterRevision, String host) {
		List<CatalogueRecord> records = decode(items, host);
		boolean complete = afterRevision == 0 && records.size() == items.size();
		boolean contiguous = this.catalogue.isLoaded() && revision() >= afterRevision;
		if (!complete && !contiguous) {
			logger.debug(
					"Ignored {} catalogue records from peer {}: the local catalogue is not loaded up to revision {}",
					records.size(), host, afterRevision);
			return;
		}
		int newer = this.catalogue.offer(records, "peer " + host);
		if (newer > 0) {
			logger.info("Applied {} newer catalogue records from peer {}", newer, host);
		}
	}

	/**
	 * Decodes records up to the first one that this version cannot decode. Records after
	 * it are dropped, since applying them would raise the revision past the missing
	 * record.
	 * @param items the records, sorted by revision
	 * @param host the host name of the peer
	 * @return the records before the first one that cannot be decoded
	 */
	private static List<CatalogueRecord> decode(List<CatalogueItem> items, String host) {
		List<CatalogueRecord> records = new ArrayList<>(items.size());
		for (CatalogueItem item : items) {
			try {
				records.add(PeerMessages.fromWire(item));
			}
			catch (IOException ex) {
				logger.warn("Failed to decode a catalogue record from peer {} at revision {}: {}", host,
						item.getRevision(), ex.toString());
				return records;
			}
		}
		return records;
	}

	private void addRecords(ExchangeRequest request, long afterRevision) {
		request.setRecords(PeerMessages.toWire(this.catalogue.recordsAfter(afterRevision)));
		request.setRecordsAfter(afterRevision);
	}

	private void addRecords(ExchangeResponse response, long afterRevision) {
		response.setRecords(PeerMessages.toWire(this.catalogue.recordsAfter(afterRevision)));
		response.setRecordsAfter(afterRevision);
	}

	private @Nullable CatalogueState localState() {
		if (!this.catalogue.isLoaded()) {
			return null;
		}
		CatalogueSummary summary = this.catalogue.summary();
		return new CatalogueState(summary.revision(), summary.digest());
	}

}
