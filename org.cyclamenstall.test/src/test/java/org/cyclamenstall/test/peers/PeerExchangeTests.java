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
import org.cyclamenstall.claims.ClaimantAnswer;
import org.cyclamenstall.claims.StoredAnswer;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.junit.ThrownBy;
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

	private static final int RARE = PeerDaemon.RARE_ROUNDS_MILLIS;

	private static final int FREQUENT = PeerDaemon.FREQUENT_ROUNDS_MILLIS;

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
	class WhenDaemonsMeet {

		@Test
		void oneSeedIsEnoughForAllToKnowEachOther() {
			PeerDaemon first = start("gara-1", 1, FREQUENT);
			PeerDaemon second = start("gara-2", 1, FREQUENT, first.seed());
			awaitState(first, "gara-2", MemberState.ALIVE);
			PeerDaemon third = start("gara-3", 1, FREQUENT, first.seed());
			awaitState(third, "gara-2", MemberState.ALIVE);
			awaitState(second, "gara-3", MemberState.ALIVE);
			ConditionWaiter.await(() -> third.demand().live().size() == 3, () -> "live " + third.demand().live());
			assertThat(third.demand().reports().get("gara-1"), is(first.demand().localDemand()));
		}

		@Test
		void theListOfThePlatformIsEnough() {
			PeerDaemon first = start("gara-1", 1, FREQUENT);
			PeerDaemon second = start("gara-2", 1, FREQUENT);
			first.listHost(second.seed());
			awaitState(second, "gara-1", MemberState.ALIVE);
		}

		@Test
		void aFanoutOfOneReachesAll() {
			List<PeerDaemon> daemons = new ArrayList<>();
			PeerAddress seed = null;
			for (int number = 1; number <= 4; number++) {
				List<PeerAddress> seeds = (seed != null) ? List.of(seed) : List.of();
				PeerSettings peers = new PeerSettings("127.0.0.2", 0, null, seeds, FREQUENT, 10_000, null, null, 1);
				PeerDaemon daemon = PeerDaemon.create("gara-" + number, 1, peers).start();
				daemons.add(PeerExchangeTests.this.closer.register(daemon));
				seed = daemon.seed();
			}
			daemons.get(0).offer(PeerDaemon.record("chat", 5));
			daemons.forEach((daemon) -> awaitRevision(daemon, 5));
		}

		@Test
		void aDaemonWithoutStoreTakesTheWholeCatalogue() {
			PeerDaemon first = start("gara-1", 1, RARE);
			first.offer(PeerDaemon.record("chat", 3), PeerDaemon.record("stock", 7));
			PeerDaemon second = start("gara-2", 1, RARE, first.seed());
			awaitRevision(second, 7);
			assertThat(second.catalogue().recordsAfter(0), hasSize(2));
		}

		@Test
		void anEmptyCatalogueCountsAsLoaded() {
			PeerDaemon first = start("gara-1", 1, RARE);
			first.offer();
			PeerDaemon second = start("gara-2", 1, RARE, first.seed());
			ConditionWaiter.await(second.catalogue()::isLoaded, () -> "the empty catalogue is not loaded");
		}

	}

	@Nested
	class WhenTheCatalogueChanges {

		@Test
		void itIsPushedWithoutWaitingForARound() {
			PeerDaemon first = start("gara-1", 1, RARE);
			first.offer(PeerDaemon.record("chat", 1));
			PeerDaemon second = start("gara-2", 1, RARE, first.seed());
			PeerDaemon third = start("gara-3", 1, RARE, first.seed());
			awaitRevision(second, 1);
			awaitRevision(third, 1);
			second.offer(PeerDaemon.record("chat", 2));
			awaitRevision(first, 2);
			awaitRevision(third, 2);
		}

		@Test
		void anOlderRecordNeverReplacesANewerOne() {
			PeerDaemon first = start("gara-1", 1, FREQUENT);
			PeerDaemon second = PeerDaemon.create("gara-2", 1, FREQUENT, first.seed());
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
		void recordsThatAreMissingBelowAnEqualRevisionAreRepaired() {
			PeerDaemon first = start("gara-1", 1, FREQUENT);
			PeerDaemon second = PeerDaemon.create("gara-2", 1, FREQUENT, first.seed());
			PeerExchangeTests.this.closer.register(second);
			first.offer(PeerDaemon.record("chat", 5), PeerDaemon.record("stock", 6));
			second.offer(PeerDaemon.record("stock", 6));
			second.start();
			ConditionWaiter.await(() -> second.catalogue().summary().equals(first.catalogue().summary()),
					() -> "the catalogues differ");
		}

	}

	@Nested
	class WhenAPeerIsFrozen {

		private PeerDaemon startBesideAFrozenPeer() throws IOException {
			ServerSocket frozen = PeerExchangeTests.this.closer
				.register(new ServerSocket(0, 50, InetAddress.getByName("127.0.0.3")));
			PeerAddress frozenSeed = new PeerAddress("gara-9", "127.0.0.3", frozen.getLocalPort());
			PeerSettings patient = new PeerSettings("127.0.0.2", 0, null, List.of(frozenSeed), FREQUENT, 60_000);
			return PeerExchangeTests.this.closer.register(PeerDaemon.create("gara-1", 1, patient)).start();
		}

		@Test
		void itDelaysNoOther() throws IOException {
			PeerDaemon first = startBesideAFrozenPeer();
			PeerDaemon second = start("gara-2", 1, FREQUENT, first.seed());
			first.offer(PeerDaemon.record("chat", 1));
			awaitRevision(second, 1);
			first.offer(PeerDaemon.record("chat", 2));
			awaitRevision(second, 2);
			assertThat(first.stateOf("gara-9"), is(MemberState.SUSPECT));
		}

		@Test
		void itDoesNotHoldUpTheEndOfTheDaemon() throws IOException {
			PeerDaemon first = startBesideAFrozenPeer();
			PeerDaemon second = start("gara-2", 1, FREQUENT, first.seed());
			awaitState(second, "gara-1", MemberState.ALIVE);
			Thread closing = new Thread(first::close);
			closing.start();
			assertThat(ConditionWaiter.holdsWithin(Duration.ofSeconds(30), () -> !closing.isAlive()), is(true));
		}

	}

	@Nested
	class WhenAPeerEnds {

		@Test
		void oneThatLeavesSaysSo() {
			PeerDaemon first = start("gara-1", 1, RARE);
			PeerDaemon second = start("gara-2", 1, RARE, first.seed());
			awaitState(second, "gara-1", MemberState.ALIVE);
			second.exchange().leave();
			awaitState(first, "gara-2", MemberState.LEAVING);
			ConditionWaiter.await(() -> first.demand().live().size() == 1, () -> "live " + first.demand().live());
			assertThat(first.demand().live(), contains("gara-1"));
		}

		@Test
		void oneThatIsKilledIsSuspectedAndItsRestartIsNoticed() {
			PeerDaemon first = start("gara-1", 1, FREQUENT);
			PeerDaemon second = start("gara-2", 1, FREQUENT, first.seed());
			PeerDaemon third = start("gara-3", 1, FREQUENT, first.seed());
			awaitState(first, "gara-2", MemberState.ALIVE);
			awaitState(first, "gara-3", MemberState.ALIVE);
			second.close();
			awaitState(first, "gara-2", MemberState.SUSPECT);
			ConditionWaiter.await(() -> first.demand().live().size() == 2, () -> "live " + first.demand().live());
			assertThat(first.demand().live(), containsInAnyOrder("gara-1", "gara-3"));
			start("gara-2", 2, FREQUENT, third.seed());
			awaitState(first, "gara-2", MemberState.ALIVE);
			assertThat(first.member("gara-2").orElseThrow().incarnation(), is(2L));
		}

	}

	@Nested
	class WhenAClaimantIsAsked {

		private final PeerDaemon claimant = start("gara-1", 7, FREQUENT);

		private final PeerDaemon other = start("gara-2", 1, FREQUENT, this.claimant.seed());

		private ClaimStatus ask(long incarnation, String attempt) {
			return this.other.exchange().ask("gara-1", incarnation, attempt).status();
		}

		@Test
		void itAnswersForItsOwnIncarnationOnly() {
			awaitState(this.other, "gara-1", MemberState.ALIVE);
			this.claimant.claims().put("abandoned", ClaimantAnswer.ABANDONED);
			this.claimant.claims().put("running", ClaimantAnswer.IN_PROGRESS);
			assertThat(ask(7, "abandoned"), is(ClaimStatus.ABANDONED));
			assertThat(ask(7, "running"), is(ClaimStatus.IN_PROGRESS));
			assertThat(ask(7, "other"), is(ClaimStatus.UNKNOWN));
			assertThat(ask(6, "abandoned"), is(ClaimStatus.UNKNOWN));
			assertThat(ask(8, "abandoned"), is(ClaimStatus.UNKNOWN));
		}

		@Test
		void itHandsOverTheWholeAnswer() {
			awaitState(this.other, "gara-1", MemberState.ALIVE);
			byte[] body = "booked".getBytes(StandardCharsets.UTF_8);
			this.claimant.claims()
				.put("ran", new ClaimantAnswer(ClaimStatus.COMPLETED, new StoredAnswer(201, "text/plain", body)));
			StoredAnswer answer = this.other.exchange().ask("gara-1", 7, "ran").answer();
			assertThat(answer.status(), is(201));
			assertThat(answer.contentType(), is("text/plain"));
			assertThat(answer.body(), is(body));
		}

		@Test
		void itsSilenceIsAnUnknownOutcome() {
			awaitState(this.other, "gara-1", MemberState.ALIVE);
			this.claimant.claims().put("abandoned", ClaimantAnswer.ABANDONED);
			this.claimant.close();
			assertThat(ask(7, "abandoned"), is(ClaimStatus.UNKNOWN));
		}

	}

	@Nested
	class Security {

		private PeerDaemon withSecret(String host, String secret, PeerAddress... seeds) throws IOException {
			Path file = Files.writeString(PeerExchangeTests.this.directory.resolve(host), secret + "\n");
			PeerSettings peers = new PeerSettings("127.0.0.2", 0, file.toString(), List.of(seeds), FREQUENT, 10_000);
			return PeerExchangeTests.this.closer.register(PeerDaemon.create(host, 1, peers)).start();
		}

		@Test
		void aWrongSecretIsRefused() throws IOException {
			PeerDaemon first = withSecret("gara-1", "right");
			first.offer(PeerDaemon.record("chat", 1));
			PeerDaemon wrong = withSecret("gara-2", "wrong", first.seed());
			PeerDaemon right = withSecret("gara-3", "right", first.seed());
			awaitRevision(right, 1);
			awaitState(wrong, "gara-1", MemberState.SUSPECT);
			assertThat(wrong.catalogue().isLoaded(), is(false));
			assertThat(first.member("gara-2").isPresent(), is(false));
		}

		@Test
		void anAddressThatOthersReachNeedsASecret() {
			PeerSettings open = new PeerSettings("0.0.0.0", 0, null, List.of(), FREQUENT, 10_000);
			PeerDaemon daemon = PeerDaemon.create("gara-1", 1, open);
			RouterException failure = ThrownBy.call(RouterException.class, daemon::start);
			assertThat(failure.kind(), is(ErrorKind.SETTINGS_INVALID));
		}

		@Test
		void aFrameBeyondTheBoundEndsOnlyItsConnection() throws IOException {
			PeerDaemon first = start("gara-1", 1, FREQUENT);
			try (Socket socket = new Socket("127.0.0.2", first.exchange().port())) {
				OutputStream output = socket.getOutputStream();
				output.write(new byte[] { 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff });
				output.flush();
				assertThat(socket.getInputStream().read(), is(-1));
			}
			PeerDaemon second = start("gara-2", 1, FREQUENT, first.seed());
			awaitState(second, "gara-1", MemberState.ALIVE);
		}

	}

}
