package org.cyclamenstall.test.quarantine;

import java.time.Duration;
import java.util.List;

import org.cyclamenstall.policy.PromptPart;
import org.cyclamenstall.policy.PromptShape;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of the decision which prompt parts are to blame for crashes.
 */
class PromptQuarantineTests {

	private static final Duration SECOND = Duration.ofSeconds(1);

	private static void crashRepeatedly(QuarantineFleet fleet, int daemon, int times, String... parts) {
		for (int crash = 0; crash < times; crash++) {
			fleet.advance(SECOND);
			fleet.crash(daemon, fleet.prompt(parts));
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
		void aRequestIsNotRetriedAfterTheSecondCrash() {
			QuarantineFleet fleet = new QuarantineFleet(1, 1);
			fleet.succeed(0, fleet.prompt("system"));
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
			assertThat(fleet.isAdmitted(0, fleet.prompt("rare")), equalTo(true));
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
				fleet.advance(SECOND);
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
	class WhenTheQuarantineExpires {

		private static final Duration BEYOND_FIRST_QUARANTINE = Duration.ofSeconds(155);

		@Test
		void oneRequestIsAdmittedAsAProbe() {
			QuarantineFleet fleet = new QuarantineFleet(1, 1);
			crashRepeatedly(fleet, 0, 3, "deadly");
			fleet.clock.advance(BEYOND_FIRST_QUARANTINE);
			assertThat(fleet.isAdmitted(0, fleet.prompt("deadly")), equalTo(true));
			assertThat(fleet.isAdmitted(0, fleet.prompt("deadly")), equalTo(false));
		}

		@Test
		void aProbeThatCrashesAnUpstreamRepeatsTheQuarantineForLonger() {
			QuarantineFleet fleet = new QuarantineFleet(2, 1);
			crashRepeatedly(fleet, 0, 3, "deadly");
			fleet.advance(BEYOND_FIRST_QUARANTINE);
			assertThat(fleet.isAdmitted(0, fleet.prompt("deadly")), equalTo(true));
			fleet.crash(0, fleet.prompt("deadly"));
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
			assertThat(report.crashes().size(), lessThan(10));
			assertThat(report.verdicts().size(), lessThan(20));
			assertThat(report.successes().size(), lessThan(20));
			assertThat(fleet.daemon(0).size(), lessThan(100));
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
