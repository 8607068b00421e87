package org.cyclamenstall.internal.peers;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.cyclamenstall.catalogue.CatalogueRecord;
import org.cyclamenstall.claims.ClaimStatus;
import org.cyclamenstall.claims.ClaimantResponse;
import org.cyclamenstall.claims.StoredResponse;
import org.cyclamenstall.policy.DemandReport;
import org.cyclamenstall.wire.CatalogueItem;
import org.cyclamenstall.wire.ClaimReport;
import org.cyclamenstall.wire.ClaimState;
import org.cyclamenstall.wire.Demand;
import org.cyclamenstall.wire.Identity;
import org.jspecify.annotations.Nullable;

/**
 * Converts between the domain types and the Thrift messages that daemons exchange.
 * Unknown fields from newer versions are ignored. Thread-safe.
 */
public final class PeerMessages {

	private static final ObjectMapper mapper = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.build();

	private PeerMessages() {
	}

	/**
	 * Converts an identity to a message.
	 * @param identity the identity
	 * @return the message
	 */
	public static Identity toWire(PeerIdentity identity) {
		Identity message = new Identity(identity.host(), identity.incarnation());
		message.setFailureDomain(identity.failureDomain());
		PeerEndpoint endpoint = identity.endpoint();
		if (endpoint != null) {
			message.setPeerAddress(endpoint.address());
			message.setPeerPort(endpoint.port());
		}
		return message;
	}

	/**
	 * Converts a message to an identity.
	 * @param message the message
	 * @return the identity; without an endpoint unless both its address and port are set
	 */
	public static PeerIdentity fromWire(Identity message) {
		PeerEndpoint endpoint = (message.isSetPeerAddress() && message.isSetPeerPort())
				? new PeerEndpoint(message.getPeerAddress(), message.getPeerPort()) : null;
		String domain = message.isSetFailureDomain() ? message.getFailureDomain() : "";
		return new PeerIdentity(message.getHost(), message.getIncarnation(), domain, endpoint);
	}

	/**
	 * Converts catalogue records to messages.
	 * @param records the records
	 * @return the messages, in the order of the records
	 */
	public static List<CatalogueItem> toWire(Collection<CatalogueRecord> records) {
		List<CatalogueItem> items = new ArrayList<>(records.size());
		try {
			for (CatalogueRecord record : records) {
				items.add(new CatalogueItem(record.revision(), ByteBuffer.wrap(mapper.writeValueAsBytes(record))));
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return items;
	}

	/**
	 * Converts a message to a catalogue record.
	 * @param item the message
	 * @return the record
	 * @throws IOException if the record is malformed or has a format that this version
	 * does not support
	 */
	public static CatalogueRecord fromWire(CatalogueItem item) throws IOException {
		return mapper.readValue(item.getJson(), CatalogueRecord.class);
	}

	/**
	 * Converts a demand report to a message.
	 * @param report the report
	 * @return the message
	 */
	public static Demand toWire(DemandReport report) {
		Demand message = new Demand();
		message.setDemandByLimit(report.demandByLimit());
		message.setInFlightByUpstream(report.inFlightByUpstream());
		return message;
	}

	/**
	 * Converts a message to a demand report.
	 * @param message the message
	 * @return the report, with empty maps for fields that are not set
	 */
	public static DemandReport fromWire(Demand message) {
		Map<String, Double> demandByLimit = message.isSetDemandByLimit() ? message.getDemandByLimit() : Map.of();
		Map<String, Integer> inFlightByUpstream = message.isSetInFlightByUpstream() ? message.getInFlightByUpstream()
				: Map.of();
		return new DemandReport(Map.copyOf(demandByLimit), Map.copyOf(inFlightByUpstream));
	}

	/**
	 * Converts the state of a claim attempt to a message.
	 * @param incarnation the incarnation of the claimant
	 * @param response the state of the attempt as known to the claimant
	 * @return the message
	 */
	public static ClaimReport toWire(long incarnation, ClaimantResponse response) {
		ClaimReport message = new ClaimReport(incarnation);
		message.setState(ClaimState.valueOf(response.status().name()));
		StoredResponse storedResponse = response.answer();
		if (storedResponse != null) {
			message.setAnswerStatus(storedResponse.status());
			message.setAnswerContentType(storedResponse.contentType());
			message.setAnswerBody(storedResponse.body());
		}
		return message;
	}

	/**
	 * Converts a message to the state of a claim attempt. A state that this version does
	 * not know is converted to {@link ClaimStatus#UNKNOWN}.
	 * @param message the message
	 * @return the state of the attempt as known to the claimant
	 */
	public static ClaimantResponse fromWire(ClaimReport message) {
		ClaimState state = message.getState();
		ClaimStatus status = (state != null) ? ClaimStatus.valueOf(state.name()) : ClaimStatus.UNKNOWN;
		return new ClaimantResponse(status, (status == ClaimStatus.COMPLETED) ? storedResponse(message) : null);
	}

	private static @Nullable StoredResponse storedResponse(ClaimReport message) {
		if (!message.isSetAnswerStatus() || !message.isSetAnswerBody()) {
			return null;
		}
		String contentType = message.isSetAnswerContentType() ? message.getAnswerContentType() : "";
		return new StoredResponse(message.getAnswerStatus(), contentType, message.getAnswerBody());
	}

}
