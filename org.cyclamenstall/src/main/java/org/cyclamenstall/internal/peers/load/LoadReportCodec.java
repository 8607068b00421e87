package org.cyclamenstall.internal.peers.load;

import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.cyclamenstall.internal.policy.quarantine.QuarantineReport;
import org.cyclamenstall.routes.RequestPriority;
import org.cyclamenstall.wire.LoadDatagram;

/**
 * Converts load reports to datagrams and back, in Thrift's compact protocol. Fields of
 * newer versions are ignored. Not thread-safe.
 */
public final class LoadReportCodec {

	private static final Logger logger = LogManager.getLogger(LoadReportCodec.class);

	private final TSerializer serializer;

	private final TDeserializer deserializer;

	/**
	 * Creates a codec.
	 */
	public LoadReportCodec() {
		try {
			this.serializer = new TSerializer(new TCompactProtocol.Factory());
			this.deserializer = new TDeserializer(new TCompactProtocol.Factory());
		}
		catch (TException ex) {
			throw new IllegalStateException("Could not create the codec of load reports", ex);
		}
	}

	/**
	 * Encodes reports.
	 * @param reports the reports
	 * @return the bytes of the datagram
	 */
	public byte[] encode(List<LoadReport> reports) {
		try {
			return this.serializer.serialize(new LoadDatagram(reports.stream().map(LoadReportCodec::toWire).toList()));
		}
		catch (TException ex) {
			throw new IllegalStateException("Could not encode load reports", ex);
		}
	}

	/**
	 * Decodes a datagram.
	 * @param bytes the buffer of the datagram
	 * @param length the number of bytes received
	 * @return the reports, empty if the bytes are not a valid datagram
	 */
	public List<LoadReport> decode(byte[] bytes, int length) {
		try {
			LoadDatagram datagram = new LoadDatagram();
			this.deserializer.deserialize(datagram, bytes, 0, length);
			List<LoadReport> reports = new ArrayList<>();
			for (org.cyclamenstall.wire.LoadReport report : datagram.getReports()) {
				reports.add(fromWire(report));
			}
			return reports;
		}
		catch (TException | UnknownHostException | RuntimeException ex) {
			logger.debug("Ignored a datagram without load reports", ex);
			return List.of();
		}
	}

	private static org.cyclamenstall.wire.LoadReport toWire(LoadReport report) {
		org.cyclamenstall.wire.LoadReport message = new org.cyclamenstall.wire.LoadReport(
				LoadEndpointCodec.toWire(report.sender()), report.incarnation(), report.sequence());
		message.setLoads(report.loads().stream().map(LoadReportCodec::toWire).toList());
		if (!report.members().isEmpty()) {
			message.setMembers(report.members().stream().map(LoadEndpointCodec::toWire).toList());
		}
		message.setRelay(report.relay());
		message.setLeaving(report.leaving());
		if (!report.quarantine().isEmpty()) {
			message.setQuarantine(QuarantineReportCodec.toWire(report.quarantine()));
		}
		return message;
	}

	private static LoadReport fromWire(org.cyclamenstall.wire.LoadReport message) throws UnknownHostException {
		List<UpstreamLoad> loads = new ArrayList<>();
		if (message.isSetLoads()) {
			message.getLoads().forEach((load) -> loads.add(fromWire(load)));
		}
		List<LoadEndpoint> members = new ArrayList<>();
		if (message.isSetMembers()) {
			for (org.cyclamenstall.wire.LoadEndpoint member : message.getMembers()) {
				members.add(LoadEndpointCodec.fromWire(member));
			}
		}
		return new LoadReport(LoadEndpointCodec.fromWire(message.getSender()), message.getIncarnation(),
				message.getSequence(), loads, members, message.isRelay(), message.isLeaving(), message.isSetQuarantine()
						? QuarantineReportCodec.fromWire(message.getQuarantine()) : QuarantineReport.EMPTY);
	}

	private static org.cyclamenstall.wire.UpstreamLoad toWire(UpstreamLoad load) {
		Map<Byte, Integer> pendingTokens = new HashMap<>();
		for (int priority = 0; priority < load.pendingTokens().length; priority++) {
			if (load.pendingTokens()[priority] > 0) {
				pendingTokens.put((byte) priority, load.pendingTokens()[priority]);
			}
		}
		org.cyclamenstall.wire.UpstreamLoad message = new org.cyclamenstall.wire.UpstreamLoad(load.upstreamKey(),
				load.running());
		if (load.latencySensitive() > 0) {
			message.setLatencySensitive(load.latencySensitive());
		}
		if (!pendingTokens.isEmpty()) {
			message.setPendingTokensByPriority(pendingTokens);
		}
		return message;
	}

	private static UpstreamLoad fromWire(org.cyclamenstall.wire.UpstreamLoad message) {
		int[] pendingTokens = new int[RequestPriority.LOWEST + 1];
		if (message.isSetPendingTokensByPriority()) {
			message.getPendingTokensByPriority()
				.forEach((priority,
						tokens) -> pendingTokens[Math.max(0, Math.min(RequestPriority.LOWEST, priority))] += Math.max(0,
								tokens));
		}
		return new UpstreamLoad(message.getUpstream(), Math.max(0, message.getRunning()),
				Math.max(0, message.getLatencySensitive()), pendingTokens);
	}

}
