package org.cyclamenstall.test.peers.load;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.cyclamenstall.internal.peers.load.FleetLoad;
import org.cyclamenstall.internal.peers.load.LoadEndpoint;
import org.cyclamenstall.internal.peers.load.LoadReport;
import org.cyclamenstall.internal.peers.load.LoadReportCodec;
import org.cyclamenstall.internal.peers.load.UpstreamLoad;
import org.cyclamenstall.internal.policy.quarantine.CrashReport;
import org.cyclamenstall.internal.policy.quarantine.PartSuccess;
import org.cyclamenstall.internal.policy.quarantine.QuarantineReport;
import org.cyclamenstall.internal.policy.quarantine.QuarantineVerdict;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests of {@link FleetLoad} and {@link LoadReportCodec}.
 */
class FleetLoadTests {

	private static final long ENGINE = UpstreamLoad.keyOf("engine");

	private static final LoadEndpoint FIRST = LoadReports.endpoint(1, "a");

	private static final LoadEndpoint SECOND = LoadReports.endpoint(2, "b");

	private final FleetLoad fleetLoad = new FleetLoad();

	private boolean record(LoadEndpoint sender, long sequence, UpstreamLoad... loads) {
		return this.fleetLoad.record(LoadReports.report(sender, sequence, loads), 0);
	}

	@Nested
	class WhenDaemonsReport {

		@Test
		void theirLoadsAreAdded() {
			record(FIRST, 1, LoadReports.load("engine", 3, 0, 1_000));
			record(SECOND, 1, LoadReports.load("engine", 4, 2, 500));
			assertThat(FleetLoadTests.this.fleetLoad.running(ENGINE), equalTo(7));
			assertThat(FleetLoadTests.this.fleetLoad.pendingTokens(ENGINE, 1), equalTo(1_000L));
			assertThat(FleetLoadTests.this.fleetLoad.pendingTokens(ENGINE, 8), equalTo(1_500L));
		}

		@Test
		void aReportReplacesThePreviousOne() {
			record(FIRST, 1, LoadReports.load("engine", 3, 0, 1_000));
			record(FIRST, 2, LoadReports.load("other", 1, 0, 0));
			assertThat(FleetLoadTests.this.fleetLoad.running(ENGINE), equalTo(0));
		}

		@Test
		void aReportThatWasOvertakenIsIgnored() {
			record(FIRST, 2, LoadReports.load("engine", 3, 0, 1_000));
			assertThat(record(FIRST, 1), is(false));
			assertThat(FleetLoadTests.this.fleetLoad.running(ENGINE), equalTo(3));
		}

		@Test
		void aRestartedDaemonStartsANewSequence() {
			record(FIRST, 9, LoadReports.load("engine", 3, 0, 1_000));
			LoadReport restarted = new LoadReport(FIRST, 2, 1, List.of(), List.of(), false, false);
			assertThat(FleetLoadTests.this.fleetLoad.record(restarted, 0), is(true));
			assertThat(FleetLoadTests.this.fleetLoad.running(ENGINE), equalTo(0));
		}

	}

	@Nested
	class WhenADaemonFallsSilent {

		@Test
		void itsLoadCountsOnlyUntilItExpires() {
			record(FIRST, 1, LoadReports.load("engine", 3, 0, 1_000));
			FleetLoadTests.this.fleetLoad.removeExpired(FleetLoad.EXPIRY.toNanos());
			assertThat(FleetLoadTests.this.fleetLoad.running(ENGINE), equalTo(3));
			FleetLoadTests.this.fleetLoad.removeExpired(FleetLoad.EXPIRY.toNanos() + 1);
			assertThat(FleetLoadTests.this.fleetLoad.running(ENGINE), equalTo(0));
			assertThat(FleetLoadTests.this.fleetLoad.isKnown(), is(false));
		}

		@Test
		void itsLoadIsRemovedWhenItLeaves() {
			record(FIRST, 1, LoadReports.load("engine", 3, 0, 1_000));
			FleetLoadTests.this.fleetLoad.record(new LoadReport(FIRST, 1, 2, List.of(), List.of(), false, true), 0);
			assertThat(FleetLoadTests.this.fleetLoad.running(ENGINE), equalTo(0));
		}

	}

	@Nested
	class WhenAReportIsEncoded {

		/** Size of the largest datagram that a daemon receives completely. */
		private static final int RECEIVE_BUFFER_BYTES = 9_000;

		private final LoadReportCodec codec = new LoadReportCodec();

		@Test
		void itIsDecodedUnchanged() {
			LoadReport report = new LoadReport(FIRST, 7, 9, List.of(LoadReports.load("engine", 3, 2, 1_000)),
					List.of(SECOND), true, false);
			byte[] bytes = this.codec.encode(List.of(report));
			LoadReport decoded = this.codec.decode(bytes, bytes.length).get(0);
			assertThat(decoded.sender(), equalTo(FIRST));
			assertThat(decoded.sender().failureDomain(), equalTo("a"));
			assertThat(decoded.members(), equalTo(List.of(SECOND)));
			assertThat(decoded.relay(), is(true));
			assertThat(decoded.loads().get(0).pendingTokens()[2], equalTo(1_000));
			assertThat(decoded.loads().get(0).upstreamKey(), equalTo(ENGINE));
		}

		@Test
		void itsPromptPartsAreDecodedUnchanged() {
			QuarantineReport quarantine = quarantineReport(2, 3);
			byte[] bytes = this.codec.encode(List.of(report(quarantine)));
			assertThat(this.codec.decode(bytes, bytes.length).get(0).quarantine(), equalTo(quarantine));
			byte[] withoutParts = this.codec.encode(List.of(report(QuarantineReport.EMPTY)));
			assertThat(this.codec.decode(withoutParts, withoutParts.length).get(0).quarantine(),
					equalTo(QuarantineReport.EMPTY));
		}

		@Test
		void theLargestPromptPartsFitIntoADatagram() {
			byte[] bytes = this.codec.encode(List.of(report(quarantineReport(16, 12))));
			assertThat(bytes.length, lessThan(RECEIVE_BUFFER_BYTES));
		}

		private LoadReport report(QuarantineReport quarantine) {
			return new LoadReport(FIRST, 7, 9, List.of(), List.of(), false, false, quarantine);
		}

		private QuarantineReport quarantineReport(int entries, int partsPerCrash) {
			List<CrashReport> crashes = new ArrayList<>();
			List<PartSuccess> successes = new ArrayList<>();
			List<QuarantineVerdict> verdicts = new ArrayList<>();
			for (int entry = 0; entry < entries; entry++) {
				Set<Long> parts = new HashSet<>();
				for (int part = 0; part < partsPerCrash; part++) {
					parts.add(UpstreamLoad.keyOf("part-" + entry + "-" + part));
				}
				crashes.add(new CrashReport(UpstreamLoad.keyOf("crash-" + entry), 1_000 + entry, parts));
				successes.add(new PartSuccess(UpstreamLoad.keyOf("success-" + entry), 600_000));
				verdicts.add(new QuarantineVerdict(UpstreamLoad.keyOf("verdict-" + entry), 2_000, 120_000, entry));
			}
			return new QuarantineReport(crashes, successes, verdicts);
		}

		@Test
		void bytesThatAreNoReportAreIgnored() {
			for (int length = 0; length < 40; length++) {
				assertThat(this.codec.decode(new byte[length], length), hasSize(0));
			}
			assertThat(this.codec.decode("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII), 18), hasSize(0));
		}

	}

}
