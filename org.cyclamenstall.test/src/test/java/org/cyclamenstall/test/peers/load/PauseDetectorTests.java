package org.cyclamenstall.test.peers.load;

import java.time.Duration;

import org.cyclamenstall.internal.peers.load.PauseDetector;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of the detection of pauses.
 */
class PauseDetectorTests {

	private static final Duration INTERVAL = Duration.ofMillis(100);

	private final PauseDetector detector = new PauseDetector(0);

	private static long nanos(long millis) {
		return Duration.ofMillis(millis).toNanos();
	}

	@Test
	void datagramsAreTrustedWhileTheDaemonIsActive() {
		for (long millis = 100; millis < 2_000; millis += 100) {
			this.detector.recordActivity(nanos(millis), INTERVAL);
			assertThat(this.detector.isTrusted(nanos(millis + 90), INTERVAL), is(true));
		}
	}

	@Test
	void datagramsThatWaitedDuringAPauseAreNotTrusted() {
		this.detector.recordActivity(nanos(100), INTERVAL);
		assertThat(this.detector.isTrusted(nanos(5_000), INTERVAL), is(false));
		this.detector.recordActivity(nanos(5_001), INTERVAL);
		assertThat(this.detector.isTrusted(nanos(5_002), INTERVAL), is(false));
	}

	@Test
	void datagramsAreTrustedAgainSoonAfterAPause() {
		this.detector.recordActivity(nanos(5_000), INTERVAL);
		for (long millis = 5_100; millis <= 5_600; millis += 100) {
			this.detector.recordActivity(nanos(millis), INTERVAL);
		}
		assertThat(this.detector.isTrusted(nanos(5_650), INTERVAL), is(true));
	}

}
