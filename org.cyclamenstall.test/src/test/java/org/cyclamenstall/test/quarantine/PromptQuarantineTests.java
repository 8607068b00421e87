package org.cyclamenstall.test.quarantine;

import java.time.Duration;
import java.util.List;

import org.cyclamenstall.internal.policy.quarantine.PromptQuarantine;
import org.cyclamenstall.internal.policy.quarantine.QuarantineReport;
import org.cyclamenstall.policy.PromptPart;
import org.cyclamenstall.policy.PromptShape;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of the decision which prompt parts are to blame for crashes.
 */
class PromptQuarantineTests {

	private static final Duration SECOND = Duration.ofSeconds(1);

	private static void crashRepeatedly(QuarantineFleet fleet, int daemon, int times, String... parts) {
		for (int crash = 0; crash < times; crash++) {
			fleet.crash(daemon, fleet.prompt(parts));
			fleet.advance(SECOND);
		}
	}

	@Nested
	class WhenAPartCrashesUpstreams {

		@Test
		void requestsWithItAreRefused() {
			QuarantineFleet fleet = new QuarantineFleet(1, 1);
			crashRepeatedly(fleet, 0, 2, "system", "deadly");
			assertThat(fleet.isAdmitted(0, fleet.prompt("system", "deadly")), equalTo(true));
			crashRepeatedly(fleet, 0, 1, "other-system", "deadly");
			assertThat(fleet.isAdmitted(0, fleet.prompt("a-third-system", "deadly")), equalTo(false));
		}

		@Test
		void partsOfOtherRequestsAreNotBlamed() {
			QuarantineFleet fleet = new QuarantineFleet(1, 1);
			for (int crash = 0; crash < 20; crash++) {
				fleet.advance(SECOND);
				fleet.succeed(0, fleet.prompt("system", "document"));
				fleet.advance(SECOND);
				fleet.crash(0, fleet.prompt("system", "document", "deadly"));
			}
			assertThat(fleet.isAdmitted(0, fleet.prompt("system", "document")), equalTo(true));
			assertThat(fleet.isAdmitted(0, fleet.prompt("system", "document", "deadly")), equalTo(false));
		}

		@Test
		void aPartThatSucceededBeforeIsNotBlamedBesideTheDeadlyOne() {
			QuarantineFleet fleet = new QuarantineFleet(1, 1);
			fleet.succeed(0, fleet.prompt("system", "document"));
			crashRepeatedly(fleet, 0, 20, "system", "document", "deadly");
			assertThat(fleet.isAdmitted(0, fleet.prompt("system", "document")), equalTo(true));
		}

		@Test
		void aPartThatSucceededBeforeIsBlamedIfNoOtherExplainsTheCrashes() {
			QuarantineFleet fleet = new QuarantineFleet(1, 1);
			fleet.succeed(0, fleet.prompt("deadly"));
			fleet.advance(SECOND);
			crashRepeatedly(fleet, 0, 5, "deadly");
			assertThat(fleet.isAdmitted(0, fleet.prompt("deadly")), equalTo(true));
			crashRepeatedly(fleet, 0, 1, "deadly");
			assertThat(fleet.isAdmitted(0, fleet.prompt("deadly")), equalTo(false));
		}

		@Test
		void theLastPartIsNeverBlamed() {
			QuarantineFleet fleet = new QuarantineFleet(1, 1);
			PromptShape prompt = fleet.prompt();
			for (int crash = 0; crash < 10; crash++) {
				fleet.advance(SECOND);
				fleet.crash(0, prompt);
			}
			assertThat(fleet.isAdmitted(0, prompt), equalTo(true));
			String last = prompt.parts().get(0).id();
			assertThat(fleet.isAdmitted(0, fleet.prompt(last)), equalTo(true));
		}

		@Test
		void partsThatAreLostWithTheDeadlyOneAreNotBlamed() {
			QuarantineFleet fleet = new QuarantineFleet(2, 1);
			crashRepeatedly(fleet, 1, 3, "deadly");
			for (int crash = 0; crash < 6; crash++) {
				fleet.crash(1, fleet.prompt("deadly"), "engine-of-both-" + crash);
				fleet.crash(1, fleet.prompt("document-here"), "engine-of-both-" + crash);
				fleet.crash(0, fleet.prompt("document-there"), "engine-of-both-" + crash);
				fleet.advance(SECOND);
			}
			assertThat(fleet.isAdmitted(1, fleet.prompt("document-here")), equalTo(true));
			assertThat(fleet.isAdmitted(0, fleet.prompt("document-there")), equalTo(true));
		}

		@Test
		void aNewPartThatCameOnlyWithTheDeadlyOneIsClearedByAnotherRequest() {
			QuarantineFleet fleet = new QuarantineFleet(3, 1);
			crashRepeatedly(fleet, 0, 3, "document", "deadly");
			assertThat(fleet.isAdmitted(0, fleet.prompt("document", "deadly")), equalTo(false));
			PromptShape sound = fleet.prompt("document");
			assertThat(fleet.isAdmitted(0, sound), equalTo(true));
			fleet.probe(0, sound);
			assertThat(fleet.isAdmitted(0, fleet.prompt("document")), equalTo(false));
			fleet.succeed(0, sound);
			fleet.advance(SECOND);
			assertThat(fleet.isAdmitted(0, fleet.prompt("document")), equalTo(true));
			assertThat(fleet.isAdmitted(2, fleet.prompt("document")), equalTo(true));
			assertThat(fleet.isAdmitted(2, fleet.prompt("document", "deadly")), equalTo(false));
		}

		@Test
		void aDeadlyPartIsNotClearedByARequestWithoutItsCompanion() {
			QuarantineFleet fleet = new QuarantineFleet(1, 1);
			crashRepeatedly(fleet, 0, 3, "document", "deadly");
			PromptShape probe = fleet.prompt("deadly");
			assertThat(fleet.isAdmitted(0, probe), equalTo(true));
			fleet.probe(0, probe);
			fleet.crash(0, probe);
			fleet.advance(Duration.ofSeconds(11));
			assertThat(fleet.isAdmitted(0, fleet.prompt("deadly")), equalTo(false));
		}

		@ParameterizedTest
		@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 })
		void aDeadlyPartAmongManyIsReported(long seed) {
			QuarantineFleet fleet = new QuarantineFleet(5, seed);
			for (int crash = 0; crash < 3; crash++) {
				String[] parts = new String[40];
				for (int part = 0; part < parts.length; part++) {
					parts[part] = "turn-" + seed + "-" + crash + "-" + part;
					fleet.succeed(crash, fleet.prompt(parts[part]));
				}
				parts[20] = "deadly-" + seed;
				fleet.advance(Duration.ofMillis(1_500));
				fleet.crash(crash, fleet.prompt(parts));
			}
			fleet.advance(SECOND);
			assertThat(fleet.isAdmitted(4, fleet.prompt("deadly-" + seed)), equalTo(false));
		}

		@Test
		void aRequestIsNotRetriedAfterTheSecondCrash() {
			QuarantineFleet fleet = new QuarantineFleet(1, 1);
			fleet.succeed(0, fleet.prompt("system"));
			fleet.advance(SECOND);
			crashRepeatedly(fleet, 0, 1, "system", "deadly");
			assertThat(fleet.mayRetry(0, fleet.prompt("system", "deadly")), equalTo(true));
			crashRepeatedly(fleet, 0, 1, "system", "deadly");
			assertThat(fleet.mayRetry(0, fleet.prompt("system", "deadly")), equalTo(false));
		}

		@Test
		void aRequestWhosePartsSucceededBeforeIsRetried() {
			QuarantineFleet fleet = new QuarantineFleet(1, 1);
			fleet.succeed(0, fleet.prompt("system"));
			crashRepeatedly(fleet, 0, 2, "system", "deadly");
			assertThat(fleet.mayRetry(0, fleet.prompt("system")), equalTo(true));
		}

		@Test
		void thePartIsQuarantinedForItsServiceOnly() {
			QuarantineFleet fleet = new QuarantineFleet(1, 1);
			crashRepeatedly(fleet, 0, 3, "deadly");
			assertThat(fleet.isAdmitted(0, fleet.prompt("deadly")), equalTo(false));
			assertThat(fleet.daemon(0).check("other-service", fleet.prompt("deadly"), fleet.clock.nanoTime()) == null,
					equalTo(true));
		}

	}

	@Nested
	class WhenUpstreamsCrashForAnotherReason {

		@Test
		void crashesAtOneMomentBlameNoPart() {
			QuarantineFleet fleet = new QuarantineFleet(1, 1);
			for (int crash = 0; crash < 20; crash++) {
				fleet.crash(0, fleet.prompt("rare"));
			}
			assertThat(fleet.mayRetry(0, fleet.prompt("rare")), equalTo(true));
			fleet.advance(SECOND);
			assertThat(fleet.isAdmitted(0, fleet.prompt("rare")), equalTo(true));
		}

		@Test
		void crashesAtOneMomentBlameNoPartAlsoIfARelayReportsThemLate() {
			QuarantineFleet fleet = new QuarantineFleet(2, 1);
			fleet.crash(0, fleet.prompt("rare"));
			fleet.crash(0, fleet.prompt("rare"));
			fleet.crash(1, fleet.prompt("rare"));
			QuarantineReport report = fleet.daemon(1).createReport(fleet.clock.nanoTime());
			fleet.clock.advance(SECOND);
			fleet.daemon(0).merge(report.aged(1_000), fleet.clock.nanoTime());
			fleet.advance(SECOND);
			assertThat(fleet.isAdmitted(0, fleet.prompt("rare")), equalTo(true));
		}

		@Test
		void resetsOfUpstreamsThatKeepServingBlameNoPart() {
			QuarantineFleet fleet = new QuarantineFleet(1, 1);
			for (int reset = 0; reset < 20; reset++) {
				fleet.crash(0, fleet.prompt("new"), "grey-" + reset);
				fleet.advance(Duration.ofMillis(100));
				fleet.succeed(0, fleet.prompt("other"), "grey-" + reset);
				fleet.advance(Duration.ofMillis(300));
			}
			assertThat(fleet.isAdmitted(0, fleet.prompt("new")), equalTo(true));
		}

		@Test
		void manyRequestsLostByOneCrashBlameNoPart() {
			QuarantineFleet fleet = new QuarantineFleet(1, 1);
			for (int request = 0; request < 20; request++) {
				fleet.advance(SECOND);
				fleet.crash(0, fleet.prompt("rare"), "the-same-engine");
			}
			assertThat(fleet.isAdmitted(0, fleet.prompt("rare")), equalTo(true));
		}

		@Test
		void aSuccessBetweenTheCrashesClearsThePart() {
			QuarantineFleet fleet = new QuarantineFleet(1, 1);
			for (int crash = 0; crash < 20; crash++) {
				crashRepeatedly(fleet, 0, 2, "rare");
				fleet.succeed(0, fleet.prompt("rare"));
			}
			assertThat(fleet.isAdmitted(0, fleet.prompt("rare")), equalTo(true));
		}

		@Test
		void successesAtOtherDaemonsClearThePart() {
			QuarantineFleet fleet = new QuarantineFleet(5, 1);
			for (int crash = 0; crash < 20; crash++) {
				fleet.advance(SECOND);
				fleet.succeed(crash % 4 + 1, fleet.prompt("common"));
				fleet.advance(SECOND);
				fleet.crash(0, fleet.prompt("common"));
			}
			assertThat(fleet.isAdmitted(0, fleet.prompt("common")), equalTo(true));
			assertThat(fleet.daemon(0).size(), equalTo(0));
		}

	}

	@Nested
	class WhenSeveralDaemonsSeeTheCrashes {

		@ParameterizedTest
		@ValueSource(ints = { 5, 31, 100 })
		void theEvidenceOfAllDaemonsIsCombined(int daemons) {
			QuarantineFleet fleet = new QuarantineFleet(daemons, 1);
			for (int crash = 0; crash < 3; crash++) {
				fleet.advance(SECOND);
				fleet.crash(crash, fleet.prompt("system-" + crash, "deadly"));
			}
			fleet.advance(SECOND);
			for (int daemon = 0; daemon < daemons; daemon++) {
				assertThat(fleet.isAdmitted(daemon, fleet.prompt("any", "deadly")), equalTo(false));
				assertThat(fleet.isAdmitted(daemon, fleet.prompt("any", "system-1")), equalTo(true));
			}
		}

		@ParameterizedTest
		@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
		void fewRequestsReachUpstreamsAfterTheFifthCrash(long seed) {
			QuarantineFleet fleet = new QuarantineFleet(31, seed);
			int crashes = 0;
			int crashesAfterTheBound = 0;
			long boundNanos = Long.MAX_VALUE;
			for (int request = 0; request < 300; request++) {
				fleet.advance(Duration.ofMillis(100), 0.3);
				int daemon = request * 7 % fleet.size();
				fleet.succeed((daemon + 1) % fleet.size(), fleet.prompt("system", "document-" + request % 9));
				PromptShape prompt = fleet.prompt("system", "document-" + request % 9, "deadly");
				if (fleet.isAdmitted(daemon, prompt)) {
					fleet.crash(daemon, prompt);
					crashes++;
					boundNanos = (crashes == 5) ? fleet.clock.nanoTime() + Duration.ofSeconds(3).toNanos() : boundNanos;
					crashesAfterTheBound += (fleet.clock.nanoTime() > boundNanos) ? 1 : 0;
				}
			}
			assertThat(crashes, greaterThan(2));
			assertThat(fleet.isAdmitted(0, fleet.prompt("any", "deadly")), equalTo(false));
			assertThat(crashesAfterTheBound, lessThanOrEqualTo(3));
			assertThat(fleet.isAdmitted(0, fleet.prompt("system", "document-1")), equalTo(true));
		}

		@Test
		void aRestartedDaemonLearnsTheQuarantine() {
			QuarantineFleet fleet = new QuarantineFleet(3, 1);
			crashRepeatedly(fleet, 0, 3, "deadly");
			fleet.advance(Duration.ofSeconds(20));
			fleet.restart(1);
			fleet.advance(Duration.ofMillis(100));
			assertThat(fleet.isAdmitted(1, fleet.prompt("deadly")), equalTo(false));
		}

		@Test
		void aSuccessAtOneDaemonEndsTheQuarantineAtAll() {
			QuarantineFleet fleet = new QuarantineFleet(4, 1);
			PromptShape running = fleet.prompt("sound");
			crashRepeatedly(fleet, 0, 3, "sound");
			fleet.advance(SECOND);
			assertThat(fleet.isAdmitted(2, fleet.prompt("sound")), equalTo(false));
			fleet.succeed(3, running);
			fleet.advance(SECOND);
			for (int daemon = 0; daemon < fleet.size(); daemon++) {
				assertThat(fleet.isAdmitted(daemon, fleet.prompt("sound")), equalTo(true));
			}
		}

	}

	@Nested
	class WhenReportsAreLate {

		@Test
		void aSuccessBeforeALateVerdictPreventsIt() {
			QuarantineFleet fleet = new QuarantineFleet(2, 1);
			PromptQuarantine first = fleet.daemon(0);
			for (int crash = 0; crash < 3; crash++) {
				fleet.crash(0, fleet.prompt("sound"));
				fleet.clock.advance(SECOND);
			}
			QuarantineReport report = first.createReport(fleet.clock.nanoTime());
			assertThat(report.verdicts().size(), equalTo(1));
			fleet.clock.advance(Duration.ofMillis(20));
			fleet.succeed(1, fleet.prompt("sound"));
			fleet.clock.advance(Duration.ofMillis(40));
			fleet.daemon(1).merge(report, fleet.clock.nanoTime());
			fleet.advance(SECOND);
			assertThat(fleet.isAdmitted(0, fleet.prompt("sound")), equalTo(true));
			assertThat(fleet.isAdmitted(1, fleet.prompt("sound")), equalTo(true));
		}

		@Test
		void anOldSuccessIsNotRenewedByPassingItOn() {
			QuarantineFleet fleet = new QuarantineFleet(9, 1);
			fleet.succeed(0, fleet.prompt("deadly"));
			int crashes = 0;
			while (fleet.isAdmitted(crashes % 9, fleet.prompt("deadly")) && crashes < 20) {
				fleet.advance(SECOND);
				fleet.crash(crashes % 9, fleet.prompt("deadly"));
				crashes++;
				fleet.advance(Duration.ofMillis(300));
			}
			assertThat(crashes, equalTo(6));
		}

	}

	@Nested
	class WhenTheQuarantineExpires {

		private static final Duration BEYOND_FIRST_QUARANTINE = Duration.ofSeconds(155);

		@Test
		void oneRequestIsAdmittedAsAProbe() {
			QuarantineFleet fleet = new QuarantineFleet(1, 1);
			crashRepeatedly(fleet, 0, 3, "deadly");
			assertThat(fleet.isAdmitted(0, fleet.prompt("deadly")), equalTo(false));
			fleet.clock.advance(BEYOND_FIRST_QUARANTINE);
			PromptShape probe = fleet.prompt("deadly");
			assertThat(fleet.isAdmitted(0, probe), equalTo(true));
			fleet.probe(0, probe);
			assertThat(fleet.isAdmitted(0, fleet.prompt("deadly")), equalTo(false));
		}

		@Test
		void aProbeThatCrashesAnUpstreamRepeatsTheQuarantineForLonger() {
			QuarantineFleet fleet = new QuarantineFleet(2, 1);
			crashRepeatedly(fleet, 0, 3, "deadly");
			fleet.advance(BEYOND_FIRST_QUARANTINE);
			PromptShape probe = fleet.prompt("deadly");
			assertThat(fleet.isAdmitted(0, probe), equalTo(true));
			fleet.probe(0, probe);
			fleet.crash(0, probe);
			fleet.advance(BEYOND_FIRST_QUARANTINE);
			assertThat(fleet.isAdmitted(0, fleet.prompt("deadly")), equalTo(false));
			assertThat(fleet.isAdmitted(1, fleet.prompt("deadly")), equalTo(false));
		}

		@Test
		void aProbeThatSucceedsEndsTheQuarantine() {
			QuarantineFleet fleet = new QuarantineFleet(2, 1);
			crashRepeatedly(fleet, 0, 3, "sound");
			fleet.advance(BEYOND_FIRST_QUARANTINE);
			PromptShape probe = fleet.prompt("sound");
			assertThat(fleet.isAdmitted(0, probe), equalTo(true));
			fleet.probe(0, probe);
			fleet.succeed(0, probe);
			fleet.advance(SECOND);
			assertThat(fleet.isAdmitted(0, fleet.prompt("sound")), equalTo(true));
			assertThat(fleet.isAdmitted(1, fleet.prompt("sound")), equalTo(true));
		}

	}

	@Nested
	class WhenManyPartsAreReported {

		@Test
		void theReportsStayBounded() {
			QuarantineFleet fleet = new QuarantineFleet(2, 1);
			for (int crash = 0; crash < 500; crash++) {
				fleet.advance(Duration.ofMillis(100));
				fleet.crash(0, fleet.prompt("a-" + crash, "b-" + crash / 3, "c-" + crash % 50));
			}
			var report = fleet.daemon(0).createReport(fleet.clock.nanoTime());
			assertThat(report.crashes().size(), lessThanOrEqualTo(6));
			assertThat(report.verdicts().size(), lessThanOrEqualTo(16));
			assertThat(report.successes().size(), lessThanOrEqualTo(16));
			assertThat(fleet.daemon(0).size(), lessThanOrEqualTo(64));
		}

		@Test
		void aPromptWithoutSharedPartsIsAdmitted() {
			QuarantineFleet fleet = new QuarantineFleet(1, 1);
			crashRepeatedly(fleet, 0, 3, "deadly");
			assertThat(fleet.isAdmitted(0, PromptShape.NONE), equalTo(true));
			assertThat(fleet.isAdmitted(0, new PromptShape(10, 1, 1, List.of(new PromptPart("deadly", 10)))),
					equalTo(true));
		}

	}

}
