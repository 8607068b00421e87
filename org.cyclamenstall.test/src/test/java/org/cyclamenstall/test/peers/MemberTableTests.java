package org.cyclamenstall.test.peers;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.cyclamenstall.internal.peers.ContactResult;
import org.cyclamenstall.internal.peers.MemberTable;
import org.cyclamenstall.internal.peers.PeerEndpoint;
import org.cyclamenstall.internal.peers.PeerIdentity;
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

	private static final int EXCHANGE_MILLIS = 1_000;

	private final ManualClock clock = new ManualClock();

	private final MemberTable table = new MemberTable(identity("gara-1", 1), EXCHANGE_MILLIS, this.clock);

	private static PeerIdentity identity(String host, long incarnation) {
		return new PeerIdentity(host, incarnation, "ro-central-a", ENDPOINT);
	}

	private ContactResult hear(String host, long incarnation) {
		return this.table.heard(identity(host, incarnation), false, 0);
	}

	private void fail(String host, int times) {
		for (int failure = 0; failure < times; failure++) {
			this.table.tried(host);
			this.table.failed(host);
		}
	}

	private MemberState state(String host) {
		return this.table.others()
			.stream()
			.filter((member) -> member.host().equals(host))
			.map(Member::state)
			.findFirst()
			.orElseThrow();
	}

	@Nested
	class WhenAPeerIsSilent {

		@Test
		void twoFailuresMakeASuspectAndOneMessageClearsIt() {
			hear("gara-2", 1);
			fail("gara-2", 1);
			assertThat(state("gara-2"), is(MemberState.ALIVE));
			fail("gara-2", 1);
			assertThat(state("gara-2"), is(MemberState.SUSPECT));
			hear("gara-2", 1);
			assertThat(state("gara-2"), is(MemberState.ALIVE));
		}

		@Test
		void aSuspectIsTriedAtALowerRate() {
			hear("gara-2", 1);
			fail("gara-2", 2);
			assertThat(MemberTableTests.this.table.answering(), empty());
			assertThat(MemberTableTests.this.table.suspectsDue(), empty());
			MemberTableTests.this.clock.advance(Duration.ofMillis(5 * EXCHANGE_MILLIS));
			assertThat(MemberTableTests.this.table.suspectsDue(), contains("gara-2"));
		}

		@Test
		void itIsForgottenUnlessItIsListedOrSeeded() {
			MemberTableTests.this.table.seed("gara-2", ENDPOINT);
			MemberTableTests.this.table.list(Map.of("gara-3", ENDPOINT));
			for (String host : List.of("gara-2", "gara-3", "gara-4")) {
				hear(host, 1);
				fail(host, 2);
			}
			MemberTableTests.this.clock.advance(Duration.ofMinutes(11));
			assertThat(MemberTableTests.this.table.forgetSilent(), contains("gara-4"));
			MemberTableTests.this.table.list(Map.of());
			assertThat(MemberTableTests.this.table.forgetSilent(), contains("gara-3"));
		}

		@Test
		void theNextEndpointIsTried() {
			PeerEndpoint listed = new PeerEndpoint("127.0.0.3", 2);
			hear("gara-2", 1);
			MemberTableTests.this.table.list(Map.of("gara-2", listed));
			assertThat(MemberTableTests.this.table.endpoint("gara-2").orElseThrow(), is(ENDPOINT));
			fail("gara-2", 1);
			assertThat(MemberTableTests.this.table.endpoint("gara-2").orElseThrow(), is(listed));
		}

	}

	@Nested
	class WhenAPeerIsRestarted {

		@Test
		void itsOlderIncarnationIsRefused() {
			assertThat(hear("gara-2", 5), is(ContactResult.NEW));
			assertThat(hear("gara-2", 7), is(ContactResult.NEW));
			assertThat(hear("gara-2", 5), is(ContactResult.OLDER_INCARNATION));
			assertThat(MemberTableTests.this.table.incarnation("gara-2"), is(7L));
		}

		@Test
		void aClockThatWasSetBackIsAcceptedAfterALongSilence() {
			MemberTableTests.this.table.seed("gara-2", ENDPOINT);
			hear("gara-2", 7);
			fail("gara-2", 2);
			MemberTableTests.this.clock.advance(Duration.ofMinutes(9));
			MemberTableTests.this.table.forgetSilent();
			assertThat(hear("gara-2", 5), is(ContactResult.OLDER_INCARNATION));
			MemberTableTests.this.clock.advance(Duration.ofMinutes(2));
			MemberTableTests.this.table.forgetSilent();
			assertThat(hear("gara-2", 5), is(ContactResult.NEW));
		}

		@Test
		void itIsNoLongerLeaving() {
			MemberTableTests.this.table.heard(identity("gara-2", 5), true, 9);
			assertThat(state("gara-2"), is(MemberState.LEAVING));
			hear("gara-2", 5);
			assertThat(state("gara-2"), is(MemberState.LEAVING));
			hear("gara-2", 6);
			assertThat(state("gara-2"), is(MemberState.ALIVE));
			assertThat(MemberTableTests.this.table.catalogueRevision("gara-2"), is(0L));
		}

		@Test
		void anotherDaemonWithTheNameOfThisHostIsRefused() {
			assertThat(hear("gara-1", 2), is(ContactResult.SAME_HOST));
		}

	}

	@Nested
	class LiveHosts {

		private void hearFour() {
			for (int number = 2; number <= 5; number++) {
				hear("gara-" + number, 1);
			}
		}

		@Test
		void leaveOutAMinorityThatIsSilent() {
			hearFour();
			fail("gara-2", 2);
			fail("gara-3", 2);
			assertThat(MemberTableTests.this.table.liveHosts(), containsInAnyOrder("gara-1", "gara-4", "gara-5"));
		}

		@Test
		void keepTheSilentOnesWhenThisDaemonMayBeCutOff() {
			hearFour();
			List.of("gara-2", "gara-3", "gara-4").forEach((host) -> fail(host, 2));
			assertThat(MemberTableTests.this.table.liveHosts().size(), is(5));
		}

		@Test
		void countSeedsThatWereNeverHeardAtTheStart() {
			MemberTableTests.this.table.seed("gara-2", ENDPOINT);
			assertThat(MemberTableTests.this.table.liveHosts(), containsInAnyOrder("gara-1", "gara-2"));
		}

		@Test
		void leaveOutThoseThatLeftAlsoWhenTheyAreForgotten() {
			for (int number = 2; number <= 5; number++) {
				MemberTableTests.this.table.seed("gara-" + number, ENDPOINT);
			}
			hearFour();
			for (String host : List.of("gara-2", "gara-3", "gara-4")) {
				MemberTableTests.this.table.heard(identity(host, 1), true, 0);
				fail(host, 2);
			}
			MemberTableTests.this.clock.advance(Duration.ofMinutes(11));
			MemberTableTests.this.table.forgetSilent();
			assertThat(MemberTableTests.this.table.liveHosts(), containsInAnyOrder("gara-1", "gara-5"));
		}

		@Test
		void leaveOutTheLeaving() {
			hearFour();
			MemberTableTests.this.table.heard(identity("gara-2", 1), true, 0);
			assertThat(MemberTableTests.this.table.liveHosts(),
					containsInAnyOrder("gara-1", "gara-3", "gara-4", "gara-5"));
		}

	}

}
