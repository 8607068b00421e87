package org.cyclamenstall.test.peers;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TField;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TProtocolDecorator;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.cyclamenstall.internal.peers.PeerMessages;
import org.cyclamenstall.junit.ThrowableAssert;
import org.cyclamenstall.peers.MemberState;
import org.cyclamenstall.wire.CatalogueItem;
import org.cyclamenstall.wire.ExchangeRequest;
import org.cyclamenstall.wire.ExchangeResponse;
import org.cyclamenstall.wire.Identity;
import org.cyclamenstall.wire.PeerRefusal;
import org.cyclamenstall.wire.PeerService;
import org.cyclamenstall.wire.RefusalReason;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of the peer protocol with senders of other versions and incarnations.
 */
class PeerProtocolTests {

	private final PeerDaemon daemon = PeerDaemon.create("gara-1", 1, PeerDaemon.LONG_INTERVAL_MILLIS).start();

	private TTransport transport;

	@BeforeEach
	void connect() throws TException {
		this.transport = new TFramedTransport(new TSocket("127.0.0.2", this.daemon.exchange().port(), 60_000));
		this.transport.open();
	}

	@AfterEach
	void close() {
		this.transport.close();
		this.daemon.close();
	}

	private PeerService.Client client() {
		return new PeerService.Client(new TCompactProtocol(this.transport));
	}

	private static ExchangeRequest request(long incarnation) {
		return new ExchangeRequest(new Identity("gara-2", incarnation));
	}

	@Nested
	class WhenTheSenderIsOfAnotherVersion {

		@Test
		void aMessageWithRequiredFieldsOnlyIsAccepted() throws TException {
			PeerProtocolTests.this.daemon.offer(PeerDaemon.record("chat", 4));
			ExchangeResponse response = client().exchange(request(1));
			assertThat(response.getReceiver().getHost(), is("gara-1"));
			assertThat(response.getCatalogueRevision(), is(4L));
			assertThat(PeerProtocolTests.this.daemon.stateOf("gara-2"), is(MemberState.ALIVE));
		}

		@Test
		void unknownFieldsAreIgnored() throws TException {
			TProtocol newer = new NewerProtocol(new TCompactProtocol(PeerProtocolTests.this.transport));
			ExchangeResponse response = new PeerService.Client(newer).exchange(request(1));
			assertThat(response.getReceiver().getHost(), is("gara-1"));
			assertThat(PeerProtocolTests.this.daemon.stateOf("gara-2"), is(MemberState.ALIVE));
		}

	}

	@Nested
	class WhenARecordCannotBeRead {

		private ExchangeRequest requestWithUnreadableRecord() {
			List<CatalogueItem> items = PeerMessages.toWire(List.of(PeerDaemon.record("chat", 3),
					PeerDaemon.record("newer", 4), PeerDaemon.record("stock", 5)));
			items.get(1).setJson("{\"name\":[]}".getBytes(StandardCharsets.UTF_8));
			ExchangeRequest request = request(1);
			request.setRecords(items);
			request.setRecordsAfter(0);
			return request;
		}

		@Test
		void recordsBeforeItAreAppliedAndTheExchangeContinues() throws TException {
			PeerProtocolTests.this.daemon.offer(PeerDaemon.record("chat", 1));
			client().exchange(requestWithUnreadableRecord());
			assertThat(PeerProtocolTests.this.daemon.revision(), is(3L));
			assertThat(PeerProtocolTests.this.daemon.stateOf("gara-2"), is(MemberState.ALIVE));
		}

		@Test
		void aDaemonWithoutACatalogueAppliesNone() throws TException {
			client().exchange(requestWithUnreadableRecord());
			assertThat(PeerProtocolTests.this.daemon.catalogue().isLoaded(), is(false));
		}

	}

	@Nested
	class WhenTheMessageIsGarbage {

		private static final int FRAMES = 200;

		private static final int MAXIMUM_FRAME_BYTES = 300;

		@Test
		void theDaemonKeepsServing() throws TException, IOException {
			UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(11L);
			for (int frame = 0; frame < FRAMES; frame++) {
				byte[] garbage = new byte[1 + random.nextInt(MAXIMUM_FRAME_BYTES)];
				random.nextBytes(garbage);
				try (Socket socket = new Socket("127.0.0.2", PeerProtocolTests.this.daemon.exchange().port())) {
					DataOutputStream output = new DataOutputStream(socket.getOutputStream());
					output.writeInt(garbage.length);
					output.write(garbage);
					output.flush();
				}
			}
			assertThat(client().exchange(request(1)).getReceiver().getHost(), is("gara-1"));
		}

	}

	@Nested
	class WhenIncarnationsConflict {

		@Test
		void anOlderIncarnationIsRefusedAndChangesNothing() throws TException {
			client().exchange(request(5));
			ExchangeRequest older = request(4);
			older.setLeaving(true);
			PeerRefusal refusal = ThrowableAssert.catchThrowableOfType(PeerRefusal.class,
					() -> client().exchange(older));
			assertThat(refusal.getReason(), is(RefusalReason.OLDER_INCARNATION));
			assertThat(PeerProtocolTests.this.daemon.stateOf("gara-2"), is(MemberState.ALIVE));
		}

		@Test
		void aSecondDaemonWithTheNameOfThisHostIsRefused() {
			ExchangeRequest duplicate = new ExchangeRequest(new Identity("gara-1", 9));
			PeerRefusal refusal = ThrowableAssert.catchThrowableOfType(PeerRefusal.class,
					() -> client().exchange(duplicate));
			assertThat(refusal.getReason(), is(RefusalReason.SAME_HOST));
		}

	}

	/**
	 * Adds an unknown field to every struct, as a newer version of the protocol might.
	 */
	private static final class NewerProtocol extends TProtocolDecorator {

		private static final short UNKNOWN_FIELD = 99;

		NewerProtocol(TProtocol protocol) {
			super(protocol);
		}

		@Override
		public void writeFieldStop() throws TException {
			super.writeFieldBegin(new TField("newer", TType.STRING, UNKNOWN_FIELD));
			super.writeString("unknown to this version");
			super.writeFieldEnd();
			super.writeFieldStop();
		}

	}

}
