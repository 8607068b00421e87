package org.cyclamenstall.test.peers;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.cyclamenstall.claims.ClaimStatus;
import org.cyclamenstall.claims.ClaimantResponse;
import org.cyclamenstall.claims.StoredResponse;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.junit.ThrowableAssert;
import org.cyclamenstall.kernel.Closer;
import org.cyclamenstall.peers.MemberState;
import org.cyclamenstall.settings.PeerAddress;
import org.cyclamenstall.settings.PeerSettings;
import org.cyclamenstall.standin.site.ConditionWaiter;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link org.cyclamenstall.internal.peers.PeerExchange} over real sockets.
 */
class PeerExchangeTests {

	private static final int LONG_INTERVAL_MILLIS = PeerDaemon.LONG_INTERVAL_MILLIS;

	private static final int SHORT_INTERVAL_MILLIS = PeerDaemon.SHORT_INTERVAL_MILLIS;

	private final Closer closer = new Closer();

	@TempDir
	private Path directory;

	@AfterEach
	void close() {
		this.closer.close();
	}

	private PeerDaemon start(String host, long incarnation, int exchangeMillis, PeerAddress... seeds) {
		return this.closer.register(PeerDaemon.create(host, incarnation, exchangeMillis, seeds)).start();
	}

	private static void awaitState(PeerDaemon daemon, String host, MemberState state) {
		ConditionWaiter.await(() -> daemon.stateOf(host) == state, () -> host + " is " + daemon.stateOf(host));
	}

	private static void awaitRevision(PeerDaemon daemon, long revision) {
		ConditionWaiter.await(() -> daemon.revision() == revision, () -> "revision is " + daemon.revision());
	}

	@Nested
	class WhenDaemonsStart {

		@Test
		void oneSeedIsEnoughToDiscoverAllPeers() {
			PeerDaemon first = start("gara-1", 1, SHORT_INTERVAL_MILLIS);
			PeerDaemon second = start("gara-2", 1, SHORT_INTERVAL_MILLIS, first.peerAddress());
			awaitState(first, "gara-2", MemberState.ALIVE);
			PeerDaemon third = start("gara-3", 1, SHORT_INTERVAL_MILLIS, first.peerAddress());
			awaitState(third, "gara-2", MemberState.ALIVE);
			awaitState(second, "gara-3", MemberState.ALIVE);
			ConditionWaiter.await(() -> third.demand().lastHostsSharingLimits().size() == 3,
					() -> "hosts sharing limits: " + third.demand().lastHostsSharingLimits());
			assertThat(third.demand().reports().get("gara-1"), is(first.demand().createDemandReport()));
		}

		@Test
		void aPeerIsDiscoveredFromThePlatformHostList() {
			PeerDaemon first = start("gara-1", 1, SHORT_INTERVAL_MILLIS);
			PeerDaemon second = start("gara-2", 1, SHORT_INTERVAL_MILLIS);
			first.publishInHostList(second.peerAddress());
			awaitState(second, "gara-1", MemberState.ALIVE);
		}

		@Test
		void aFanoutOfOneReachesAllDaemons() {
			List<PeerDaemon> daemons = new ArrayList<>();
			PeerAddress seed = null;
			for (int number = 1; number <= 4; number++) {
				List<PeerAddress> seeds = (seed != null) ? List.of(seed) : List.of();
				PeerSettings peers = new PeerSettings("127.0.0.2", 0, null, seeds, SHORT_INTERVAL_MILLIS, 10_000, null,
						null, 1);
				PeerDaemon daemon = PeerDaemon.create("gara-" + number, 1, peers).start();
				daemons.add(PeerExchangeTests.this.closer.register(daemon));
				seed = daemon.peerAddress();
			}
			daemons.get(0).offer(PeerDaemon.record("chat", 5));
			daemons.forEach((daemon) -> awaitRevision(daemon, 5));
		}

		@Test
		void aDaemonWithoutAStoreReceivesTheCatalogue() {
			PeerDaemon first = start("gara-1", 1, LONG_INTERVAL_MILLIS);
			first.offer(PeerDaemon.record("chat", 3), PeerDaemon.record("stock", 7));
			PeerDaemon second = start("gara-2", 1, LONG_INTERVAL_MILLIS, first.peerAddress());
			awaitRevision(second, 7);
			assertThat(second.catalogue().recordsAfter(0), hasSize(2));
		}

		@Test
		void anEmptyCatalogueCountsAsLoaded() {
			PeerDaemon first = start("gara-1", 1, LONG_INTERVAL_MILLIS);
			first.offer();
			PeerDaemon second = start("gara-2", 1, LONG_INTERVAL_MILLIS, first.peerAddress());
			ConditionWaiter.await(second.catalogue()::isLoaded, () -> "the empty catalogue is not loaded");
		}

	}

	@Nested
	class WhenTheCatalogueChanges {

		@Test
		void itIsPushedWithoutWaitingForARound() {
			PeerDaemon first = start("gara-1", 1, LONG_INTERVAL_MILLIS);
			first.offer(PeerDaemon.record("chat", 1));
			PeerDaemon second = start("gara-2", 1, LONG_INTERVAL_MILLIS, first.peerAddress());
			PeerDaemon third = start("gara-3", 1, LONG_INTERVAL_MILLIS, first.peerAddress());
			awaitRevision(second, 1);
			awaitRevision(third, 1);
			second.offer(PeerDaemon.record("chat", 2));
			awaitRevision(first, 2);
			awaitRevision(third, 2);
		}

		@Test
		void anOlderRecordNeverReplacesANewerOne() {
			PeerDaemon first = start("gara-1", 1, SHORT_INTERVAL_MILLIS);
			PeerDaemon second = PeerDaemon.create("gara-2", 1, SHORT_INTERVAL_MILLIS, first.peerAddress());
			PeerExchangeTests.this.closer.register(second);
			first.offer(PeerDaemon.record("chat", 9));
			second.offer(PeerDaemon.record("chat", 4), PeerDaemon.record("stock", 3));
			second.start();
			awaitRevision(second, 9);
			ConditionWaiter.await(() -> first.catalogue().recordsAfter(0).size() == 2, () -> "stock is missing");
			assertThat(first.revision(), is(9L));
			assertThat(second.catalogue().summary(), is(first.catalogue().summary()));
		}

		@Test
		void recordsMissingAtAnEqualRevisionAreRepaired() {
			PeerDaemon first = start("gara-1", 1, SHORT_INTERVAL_MILLIS);
			PeerDaemon second = PeerDaemon.create("gara-2", 1, SHORT_INTERVAL_MILLIS, first.peerAddress());
			PeerExchangeTests.this.closer.register(second);
			first.offer(PeerDaemon.record("chat", 5), PeerDaemon.record("stock", 6));
			second.offer(PeerDaemon.record("stock", 6));
			second.start();
			ConditionWaiter.await(() -> second.catalogue().summary().equals(first.catalogue().summary()),
					() -> "the catalogues differ");
		}

	}

	@Nested
	class WhenAPeerIsUnresponsive {

		private PeerDaemon startWithUnresponsiveSeed() throws IOException {
			ServerSocket unresponsiveSocket = PeerExchangeTests.this.closer
				.register(new ServerSocket(0, 50, InetAddress.getByName("127.0.0.3")));
			PeerAddress unresponsiveSeed = new PeerAddress("gara-9", "127.0.0.3", unresponsiveSocket.getLocalPort());
			PeerSettings longTimeout = new PeerSettings("127.0.0.2", 0, null, List.of(unresponsiveSeed),
					SHORT_INTERVAL_MILLIS, 60_000);
			return PeerExchangeTests.this.closer.register(PeerDaemon.create("gara-1", 1, longTimeout)).start();
		}

		@Test
		void itDoesNotDelayOtherPeers() throws IOException {
			PeerDaemon first = startWithUnresponsiveSeed();
			PeerDaemon second = start("gara-2", 1, SHORT_INTERVAL_MILLIS, first.peerAddress());
			first.offer(PeerDaemon.record("chat", 1));
			awaitRevision(second, 1);
			first.offer(PeerDaemon.record("chat", 2));
			awaitRevision(second, 2);
			assertThat(first.stateOf("gara-9"), is(MemberState.SUSPECT));
		}

		@Test
		void itDoesNotDelayTheShutdown() throws IOException {
			PeerDaemon first = startWithUnresponsiveSeed();
			PeerDaemon second = start("gara-2", 1, SHORT_INTERVAL_MILLIS, first.peerAddress());
			awaitState(second, "gara-1", MemberState.ALIVE);
			Thread closeThread = new Thread(first::close);
			closeThread.start();
			assertThat(ConditionWaiter.holdsWithin(Duration.ofSeconds(30), () -> !closeThread.isAlive()), is(true));
		}

	}

	@Nested
	class WhenAPeerStops {

		@Test
		void aLeavingPeerNotifiesTheOthers() {
			PeerDaemon first = start("gara-1", 1, LONG_INTERVAL_MILLIS);
			PeerDaemon second = start("gara-2", 1, LONG_INTERVAL_MILLIS, first.peerAddress());
			awaitState(second, "gara-1", MemberState.ALIVE);
			second.exchange().leave();
			awaitState(first, "gara-2", MemberState.LEAVING);
			ConditionWaiter.await(() -> first.demand().lastHostsSharingLimits().size() == 1,
					() -> "hosts sharing limits: " + first.demand().lastHostsSharingLimits());
			assertThat(first.demand().lastHostsSharingLimits(), contains("gara-1"));
		}

		@Test
		void aKilledPeerIsSuspectedUntilItsRestart() {
			PeerDaemon first = start("gara-1", 1, SHORT_INTERVAL_MILLIS);
			PeerDaemon second = start("gara-2", 1, SHORT_INTERVAL_MILLIS, first.peerAddress());
			PeerDaemon third = start("gara-3", 1, SHORT_INTERVAL_MILLIS, first.peerAddress());
			awaitState(first, "gara-2", MemberState.ALIVE);
			awaitState(first, "gara-3", MemberState.ALIVE);
			second.close();
			awaitState(first, "gara-2", MemberState.SUSPECT);
			ConditionWaiter.await(() -> first.demand().lastHostsSharingLimits().size() == 2,
					() -> "hosts sharing limits: " + first.demand().lastHostsSharingLimits());
			assertThat(first.demand().lastHostsSharingLimits(), containsInAnyOrder("gara-1", "gara-3"));
			start("gara-2", 2, SHORT_INTERVAL_MILLIS, third.peerAddress());
			awaitState(first, "gara-2", MemberState.ALIVE);
			assertThat(first.member("gara-2").orElseThrow().incarnation(), is(2L));
		}

	}

	@Nested
	class WhenAClaimantIsQueried {

		private final PeerDaemon claimant = start("gara-1", 7, SHORT_INTERVAL_MILLIS);

		private final PeerDaemon other = start("gara-2", 1, SHORT_INTERVAL_MILLIS, this.claimant.peerAddress());

		private ClaimStatus queryStatus(long incarnation, String attempt) {
			return this.other.exchange().query("gara-1", incarnation, attempt).status();
		}

		@Test
		void itRespondsForItsOwnIncarnationOnly() {
			awaitState(this.other, "gara-1", MemberState.ALIVE);
			this.claimant.claims().put("abandoned", ClaimantResponse.ABANDONED);
			this.claimant.claims().put("running", ClaimantResponse.IN_PROGRESS);
			assertThat(queryStatus(7, "abandoned"), is(ClaimStatus.ABANDONED));
			assertThat(queryStatus(7, "running"), is(ClaimStatus.IN_PROGRESS));
			assertThat(queryStatus(7, "other"), is(ClaimStatus.UNKNOWN));
			assertThat(queryStatus(6, "abandoned"), is(ClaimStatus.UNKNOWN));
			assertThat(queryStatus(8, "abandoned"), is(ClaimStatus.UNKNOWN));
		}

		@Test
		void itReturnsTheStoredResponse() {
			awaitState(this.other, "gara-1", MemberState.ALIVE);
			byte[] body = "booked".getBytes(StandardCharsets.UTF_8);
			this.claimant.claims()
				.put("ran", new ClaimantResponse(ClaimStatus.COMPLETED, new StoredResponse(201, "text/plain", body)));
			StoredResponse response = this.other.exchange().query("gara-1", 7, "ran").answer();
			assertThat(response.status(), is(201));
			assertThat(response.contentType(), is("text/plain"));
			assertThat(response.body(), is(body));
		}

		@Test
		void theStatusIsUnknownIfTheClaimantDoesNotRespond() {
			awaitState(this.other, "gara-1", MemberState.ALIVE);
			this.claimant.claims().put("abandoned", ClaimantResponse.ABANDONED);
			this.claimant.close();
			assertThat(queryStatus(7, "abandoned"), is(ClaimStatus.UNKNOWN));
		}

	}

	@Nested
	class Security {

		private PeerDaemon startWithSecret(String host, String secret, PeerAddress... seeds) throws IOException {
			Path file = Files.writeString(PeerExchangeTests.this.directory.resolve(host), secret + "\n");
			PeerSettings peers = new PeerSettings("127.0.0.2", 0, file.toString(), List.of(seeds),
					SHORT_INTERVAL_MILLIS, 10_000);
			return PeerExchangeTests.this.closer.register(PeerDaemon.create(host, 1, peers)).start();
		}

		@Test
		void aWrongSecretIsRefused() throws IOException {
			PeerDaemon first = startWithSecret("gara-1", "right");
			first.offer(PeerDaemon.record("chat", 1));
			PeerDaemon withWrongSecret = startWithSecret("gara-2", "wrong", first.peerAddress());
			PeerDaemon withRightSecret = startWithSecret("gara-3", "right", first.peerAddress());
			awaitRevision(withRightSecret, 1);
			awaitState(withWrongSecret, "gara-1", MemberState.SUSPECT);
			assertThat(withWrongSecret.catalogue().isLoaded(), is(false));
			assertThat(first.member("gara-2").isPresent(), is(false));
		}

		@Test
		void aNonLoopbackAddressRequiresASecret() {
			PeerSettings withoutSecret = new PeerSettings("0.0.0.0", 0, null, List.of(), SHORT_INTERVAL_MILLIS, 10_000);
			PeerDaemon daemon = PeerDaemon.create("gara-1", 1, withoutSecret);
			RouterException failure = ThrowableAssert.catchThrowableOfType(RouterException.class, daemon::start);
			assertThat(failure.kind(), is(ErrorKind.SETTINGS_INVALID));
		}

		@Test
		void anOversizedFrameClosesOnlyItsConnection() throws IOException {
			PeerDaemon first = start("gara-1", 1, SHORT_INTERVAL_MILLIS);
			try (Socket socket = new Socket("127.0.0.2", first.exchange().port())) {
				OutputStream output = socket.getOutputStream();
				output.write(new byte[] { 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff });
				output.flush();
				assertThat(socket.getInputStream().read(), is(-1));
			}
			PeerDaemon second = start("gara-2", 1, SHORT_INTERVAL_MILLIS, first.peerAddress());
			awaitState(second, "gara-1", MemberState.ALIVE);
		}

	}

}
