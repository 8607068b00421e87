package org.cyclamenstall.test.peers.load;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenstall.internal.peers.load.LoadEndpoint;
import org.cyclamenstall.internal.peers.load.LoadMembers;
import org.cyclamenstall.internal.peers.load.LoadReport;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link LoadMembers} with daemons that exchange reports in rounds.
 */
class LoadMembersTests {

	private static final int DOMAINS = 4;

	private static final long ROUND_NANOS = 500_000_000L;

	private static final LoadEndpoint SEED = endpoint(0);

	private final Map<LoadEndpoint, LoadMembers> daemons = new HashMap<>();

	private long nowNanos;

	private long sequence;

	private static LoadEndpoint endpoint(int index) {
		return LoadReports.endpoint(1_000 + index, "domain-" + index % DOMAINS);
	}

	private void startDaemons(int count) {
		for (int index = 0; index < count; index++) {
			startDaemon(index);
		}
	}

	private void startDaemon(int index) {
		LoadEndpoint seed = new LoadEndpoint(SEED.address(), "");
		this.daemons.put(endpoint(index),
				new LoadMembers(endpoint(index), List.of(seed), RandomSource.XO_RO_SHI_RO_128_PP.create(index)));
	}

	/**
	 * Lets each daemon send one report, and those who are asked relay it.
	 * @return the number of reports that crossed from one failure domain to another
	 */
	private int exchangeReports() {
		this.nowNanos += ROUND_NANOS;
		int crossings = 0;
		for (Map.Entry<LoadEndpoint, LoadMembers> daemon : new ArrayList<>(this.daemons.entrySet())) {
			daemon.getValue().removeExpired(this.nowNanos);
			this.sequence++;
			LoadReport report = new LoadReport(daemon.getKey(), 1, this.sequence, List.of(),
					daemon.getValue().namedMembers(), false, false);
			deliver(report, daemon.getValue().directReceivers(this.nowNanos));
			List<LoadEndpoint> relays = daemon.getValue().relayReceivers();
			crossings += relays.size();
			for (LoadEndpoint relay : relays) {
				deliver(report, List.of(relay));
				LoadMembers relaying = this.daemons.get(relay);
				if (relaying != null) {
					deliver(report, relaying.directReceivers(this.nowNanos));
				}
			}
		}
		return crossings;
	}

	private void deliver(LoadReport report, Collection<LoadEndpoint> receivers) {
		for (LoadEndpoint receiver : receivers) {
			LoadMembers members = this.daemons.get(receiver);
			if (members != null) {
				members.recordReport(report, this.nowNanos);
			}
		}
	}

	private Set<Integer> sizes() {
		Set<Integer> sizes = new HashSet<>();
		this.daemons.values().forEach((members) -> sizes.add(members.size()));
		return sizes;
	}

	@Nested
	class WithOneSeed {

		@Test
		void allDaemonsFindEachOther() {
			startDaemons(24);
			for (int round = 0; round < 12; round++) {
				exchangeReports();
			}
			assertThat(sizes(), equalTo(Set.of(24)));
		}

		@Test
		void aReportCrossesOnceIntoEachOtherFailureDomain() {
			startDaemons(24);
			for (int round = 0; round < 12; round++) {
				exchangeReports();
			}
			assertThat(exchangeReports(), equalTo(24 * (DOMAINS - 1)));
		}

		@Test
		void aDaemonIsAloneWhileItsSeedIsDown() {
			startDaemon(5);
			exchangeReports();
			LoadMembers alone = LoadMembersTests.this.daemons.get(endpoint(5));
			assertThat(alone.size(), is(1));
			assertThat(alone.relayReceivers(), hasSize(0));
		}

		@Test
		void aDaemonThatStopsIsForgotten() {
			startDaemons(12);
			for (int round = 0; round < 12; round++) {
				exchangeReports();
			}
			LoadMembersTests.this.daemons.remove(endpoint(7));
			for (int round = 0; round < 12; round++) {
				exchangeReports();
			}
			assertThat(sizes(), equalTo(Set.of(11)));
		}

		@Test
		void aDaemonThatLeavesIsForgottenAtOnce() {
			startDaemons(2);
			for (int round = 0; round < 4; round++) {
				exchangeReports();
			}
			LoadMembers seed = LoadMembersTests.this.daemons.get(SEED);
			assertThat(seed.size(), is(2));
			seed.recordReport(new LoadReport(endpoint(1), 1, 99, List.of(), List.of(), false, true),
					LoadMembersTests.this.nowNanos);
			assertThat(seed.size(), is(1));
		}

	}

}
