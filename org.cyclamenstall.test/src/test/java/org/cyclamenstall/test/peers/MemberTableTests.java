package org.cyclamenstall.test.peers;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.cyclamenstall.internal.peers.MemberTable;
import org.cyclamenstall.internal.peers.PeerEndpoint;
import org.cyclamenstall.internal.peers.PeerIdentity;
import org.cyclamenstall.internal.peers.SenderCheckResult;
import org.cyclamenstall.junit.ManualClock;
import org.cyclamenstall.peers.Member;
import org.cyclamenstall.peers.MemberState;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link MemberTable}.
 */
class MemberTableTests {

	private static final PeerEndpoint ENDPOINT = new PeerEndpoint("127.0.0.2", 1);

	private static final int ROUND_DELAY_MILLIS = 1_000;

	private final ManualClock clock = new ManualClock();

	private final MemberTable memberTable = new MemberTable(identity("gara-1", 1), ROUND_DELAY_MILLIS, this.clock);

	private static PeerIdentity identity(String host, long incarnation) {
		return new PeerIdentity(host, incarnation, "ro-central-a", ENDPOINT);
	}

	private SenderCheckResult receiveMessage(String host, long incarnation) {
		return this.memberTable.recordMessage(identity(host, incarnation), false, 0);
	}

	private void failExchanges(String host, int times) {
		for (int failure = 0; failure < times; failure++) {
			this.memberTable.recordExchangeStart(host);
			this.memberTable.recordExchangeFailure(host);
		}
	}

	private MemberState state(String host) {
		return this.memberTable.otherMembers()
			.stream()
			.filter((member) -> member.host().equals(host))
			.map(Member::state)
			.findFirst()
			.orElseThrow();
	}

	@Nested
	class WhenAPeerIsUnresponsive {

		@Test
		void itIsASuspectFromTwoFailuresUntilTheNextMessage() {
			receiveMessage("gara-2", 1);
			failExchanges("gara-2", 1);
			assertThat(state("gara-2"), is(MemberState.ALIVE));
			failExchanges("gara-2", 1);
			assertThat(state("gara-2"), is(MemberState.SUSPECT));
			receiveMessage("gara-2", 1);
			assertThat(state("gara-2"), is(MemberState.ALIVE));
		}

		@Test
		void aSuspectIsContactedAtALowerRate() {
			receiveMessage("gara-2", 1);
			failExchanges("gara-2", 2);
			assertThat(MemberTableTests.this.memberTable.reachableHosts(), empty());
			assertThat(MemberTableTests.this.memberTable.hostsToRetry(), empty());
			MemberTableTests.this.clock.advance(Duration.ofMillis(5 * ROUND_DELAY_MILLIS));
			assertThat(MemberTableTests.this.memberTable.hostsToRetry(), contains("gara-2"));
		}

		@Test
		void itIsRemovedUnlessItIsListedOrASeed() {
			MemberTableTests.this.memberTable.addSeed("gara-2", ENDPOINT);
			MemberTableTests.this.memberTable.setListedEndpoints(Map.of("gara-3", ENDPOINT));
			for (String host : List.of("gara-2", "gara-3", "gara-4")) {
				receiveMessage(host, 1);
				failExchanges(host, 2);
			}
			MemberTableTests.this.clock.advance(Duration.ofMinutes(11));
			assertThat(MemberTableTests.this.memberTable.removeExpired(), contains("gara-4"));
			MemberTableTests.this.memberTable.setListedEndpoints(Map.of());
			assertThat(MemberTableTests.this.memberTable.removeExpired(), contains("gara-3"));
		}

		@Test
		void aFailedExchangeSwitchesToTheNextEndpoint() {
			PeerEndpoint listed = new PeerEndpoint("127.0.0.3", 2);
			receiveMessage("gara-2", 1);
			MemberTableTests.this.memberTable.setListedEndpoints(Map.of("gara-2", listed));
			assertThat(MemberTableTests.this.memberTable.endpoint("gara-2").orElseThrow(), is(ENDPOINT));
			failExchanges("gara-2", 1);
			assertThat(MemberTableTests.this.memberTable.endpoint("gara-2").orElseThrow(), is(listed));
		}

	}

	@Nested
	class WhenAPeerIsRestarted {

		@Test
		void itsOlderIncarnationIsRefused() {
			assertThat(receiveMessage("gara-2", 5), is(SenderCheckResult.NEW));
			assertThat(receiveMessage("gara-2", 7), is(SenderCheckResult.NEW));
			assertThat(receiveMessage("gara-2", 5), is(SenderCheckResult.OLDER_INCARNATION));
			assertThat(MemberTableTests.this.memberTable.incarnation("gara-2"), is(7L));
		}

		@Test
		void aLowerIncarnationIsAcceptedAfterTheExpiry() {
			MemberTableTests.this.memberTable.addSeed("gara-2", ENDPOINT);
			receiveMessage("gara-2", 7);
			failExchanges("gara-2", 2);
			MemberTableTests.this.clock.advance(Duration.ofMinutes(9));
			MemberTableTests.this.memberTable.removeExpired();
			assertThat(receiveMessage("gara-2", 5), is(SenderCheckResult.OLDER_INCARNATION));
			MemberTableTests.this.clock.advance(Duration.ofMinutes(2));
			MemberTableTests.this.memberTable.removeExpired();
			assertThat(receiveMessage("gara-2", 5), is(SenderCheckResult.NEW));
		}

		@Test
		void itIsNoLongerLeaving() {
			MemberTableTests.this.memberTable.recordMessage(identity("gara-2", 5), true, 9);
			assertThat(state("gara-2"), is(MemberState.LEAVING));
			receiveMessage("gara-2", 5);
			assertThat(state("gara-2"), is(MemberState.LEAVING));
			receiveMessage("gara-2", 6);
			assertThat(state("gara-2"), is(MemberState.ALIVE));
			assertThat(MemberTableTests.this.memberTable.catalogueRevision("gara-2"), is(0L));
		}

		@Test
		void anotherDaemonWithTheNameOfThisHostIsRefused() {
			assertThat(receiveMessage("gara-1", 2), is(SenderCheckResult.SAME_HOST));
		}

	}

	@Nested
	class HostsSharingLimits {

		private void receiveFromFourPeers() {
			for (int number = 2; number <= 5; number++) {
				receiveMessage("gara-" + number, 1);
			}
		}

		@Test
		void excludeAnUnresponsiveMinority() {
			receiveFromFourPeers();
			failExchanges("gara-2", 2);
			failExchanges("gara-3", 2);
			assertThat(MemberTableTests.this.memberTable.hostsSharingLimits(),
					containsInAnyOrder("gara-1", "gara-4", "gara-5"));
		}

		@Test
		void includeAnUnresponsiveMajority() {
			receiveFromFourPeers();
			List.of("gara-2", "gara-3", "gara-4").forEach((host) -> failExchanges(host, 2));
			assertThat(MemberTableTests.this.memberTable.hostsSharingLimits().size(), is(5));
		}

		@Test
		void includeSeedsWithoutAMessage() {
			MemberTableTests.this.memberTable.addSeed("gara-2", ENDPOINT);
			assertThat(MemberTableTests.this.memberTable.hostsSharingLimits(), containsInAnyOrder("gara-1", "gara-2"));
		}

		@Test
		void excludeLeavingDaemonsAlsoAfterTheExpiry() {
			for (int number = 2; number <= 5; number++) {
				MemberTableTests.this.memberTable.addSeed("gara-" + number, ENDPOINT);
			}
			receiveFromFourPeers();
			for (String host : List.of("gara-2", "gara-3", "gara-4")) {
				MemberTableTests.this.memberTable.recordMessage(identity(host, 1), true, 0);
				failExchanges(host, 2);
			}
			MemberTableTests.this.clock.advance(Duration.ofMinutes(11));
			MemberTableTests.this.memberTable.removeExpired();
			assertThat(MemberTableTests.this.memberTable.hostsSharingLimits(), containsInAnyOrder("gara-1", "gara-5"));
		}

		@Test
		void excludeLeavingDaemons() {
			receiveFromFourPeers();
			MemberTableTests.this.memberTable.recordMessage(identity("gara-2", 1), true, 0);
			assertThat(MemberTableTests.this.memberTable.hostsSharingLimits(),
					containsInAnyOrder("gara-1", "gara-3", "gara-4", "gara-5"));
		}

	}

}
