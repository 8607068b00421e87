package org.cyclamenstall.internal.metering;

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
import org.cyclamenstall.internal.peers.load.LoadEndpoint;
import org.cyclamenstall.internal.peers.load.LoadEndpointCodec;
import org.cyclamenstall.wire.CollectorNotice;
import org.cyclamenstall.wire.MeteringDatagram;
import org.cyclamenstall.wire.WindowCounts;
import org.jspecify.annotations.Nullable;

/**
 * Converts metering messages to datagrams and back, in Thrift's compact protocol. Not
 * thread-safe.
 */
final class MeteringCodec {

	private static final Logger logger = LogManager.getLogger(MeteringCodec.class);

	private final TSerializer serializer;

	private final TDeserializer deserializer;

	MeteringCodec() {
		try {
			this.serializer = new TSerializer(new TCompactProtocol.Factory());
			this.deserializer = new TDeserializer(new TCompactProtocol.Factory());
		}
		catch (TException ex) {
			throw new IllegalStateException("Could not create the codec of metering messages", ex);
		}
	}

	byte[] encode(MeteringMessage message) {
		MeteringDatagram datagram = new MeteringDatagram(LoadEndpointCodec.toWire(message.sender()),
				message.incarnation(), message.timeMillis());
		if (!message.windows().isEmpty()) {
			List<WindowCounts> windows = new ArrayList<>();
			message.windows().forEach((window, counts) -> windows.add(new WindowCounts(window, counts)));
			datagram.setWindows(windows);
		}
		if (!message.engineMillis().isEmpty()) {
			datagram.setEngineMillisByService(message.engineMillis());
		}
		MeteringMessage.Notice notice = message.notice();
		if (notice != null) {
			CollectorNotice wireNotice = new CollectorNotice(notice.token(), notice.timeMillis());
			wireNotice.setStandbys(notice.standbys().stream().map(LoadEndpointCodec::toWire).toList());
			datagram.setNotice(wireNotice);
		}
		try {
			return this.serializer.serialize(datagram);
		}
		catch (TException ex) {
			throw new IllegalStateException("Could not encode a metering message", ex);
		}
	}

	/**
	 * Decodes a datagram. Negative counts are ignored.
	 * @param bytes the buffer of the datagram
	 * @param length the number of bytes received
	 * @return the message, or {@code null} if the bytes are not a valid datagram
	 */
	@Nullable MeteringMessage decode(byte[] bytes, int length) {
		try {
			MeteringDatagram datagram = new MeteringDatagram();
			this.deserializer.deserialize(datagram, bytes, 0, length);
			return new MeteringMessage(LoadEndpointCodec.fromWire(datagram.getSender()), datagram.getIncarnation(),
					datagram.getTimeMillis(), windows(datagram),
					datagram.isSetEngineMillisByService() ? Map.copyOf(datagram.getEngineMillisByService()) : Map.of(),
					notice(datagram));
		}
		catch (TException | UnknownHostException | RuntimeException ex) {
			logger.debug("Ignored a datagram that is no metering message", ex);
			return null;
		}
	}

	private static Map<Long, Map<String, Integer>> windows(MeteringDatagram datagram) {
		Map<Long, Map<String, Integer>> windows = new HashMap<>();
		if (!datagram.isSetWindows()) {
			return windows;
		}
		for (WindowCounts window : datagram.getWindows()) {
			Map<String, Integer> counts = new HashMap<>(window.getRequestsByAccount());
			counts.values().removeIf((count) -> count < 0);
			windows.put(window.getWindow(), counts);
		}
		return windows;
	}

	private static MeteringMessage.@Nullable Notice notice(MeteringDatagram datagram) throws UnknownHostException {
		if (!datagram.isSetNotice()) {
			return null;
		}
		CollectorNotice notice = datagram.getNotice();
		List<LoadEndpoint> standbys = new ArrayList<>();
		if (notice.isSetStandbys()) {
			for (org.cyclamenstall.wire.LoadEndpoint standby : notice.getStandbys()) {
				standbys.add(LoadEndpointCodec.fromWire(standby));
			}
		}
		return new MeteringMessage.Notice(notice.getToken(), notice.getTimeMillis(), standbys);
	}

}
