package org.cyclamenstall.test.scaling;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;

import org.cyclamenstall.internal.metering.CollectedEngineTime;
import org.cyclamenstall.internal.peers.load.LoadEndpoint;
import org.cyclamenstall.internal.scaling.UpstreamNeed;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link UpstreamNeed} and of the engine time on which it is based.
 */
class UpstreamNeedTests {

	private static final long STEP_MILLIS = 500;

	private final UpstreamNeed need = new UpstreamNeed(0);

	private long nowMillis;

	private double totalMillis;

	private void run(Duration duration, double busyEngines) {
		for (long elapsed = 0; elapsed < duration.toMillis(); elapsed += STEP_MILLIS) {
			this.nowMillis += STEP_MILLIS;
			this.totalMillis += busyEngines * STEP_MILLIS;
			this.need.recordEngineTime(Math.round(this.totalMillis), nowNanos());
		}
	}

	private long nowNanos() {
		return Duration.ofMillis(this.nowMillis).toNanos();
	}

	@Nested
	class ObservedWork {

		@Test
		void leavesEnginesPartOfTheirTime() {
			run(Duration.ofSeconds(10), 13);
			assertThat(UpstreamNeedTests.this.need.upstreams(nowNanos()), closeTo(20, 0.1));
		}

		@Test
		void countsWithItsCrestsForMinutes() {
			run(Duration.ofSeconds(10), 10);
			run(Duration.ofSeconds(5), 26);
			run(Duration.ofMinutes(4), 5);
			assertThat(UpstreamNeedTests.this.need.upstreams(nowNanos()), closeTo(40, 0.5));
			run(Duration.ofMinutes(3), 5);
			assertThat(UpstreamNeedTests.this.need.upstreams(nowNanos()), closeTo(7.7, 0.1));
		}

	}

	@Nested
	class TheInitialCount {

		@Test
		void isNeededUntilAWholePeriodWasObserved() {
			UpstreamNeedTests.this.need.recordInitialCount(42, 0);
			run(Duration.ofMinutes(2), 1);
			assertThat(UpstreamNeedTests.this.need.upstreams(nowNanos()), equalTo(42.0));
			run(Duration.ofMinutes(5), 1.3);
			assertThat(UpstreamNeedTests.this.need.upstreams(nowNanos()), closeTo(2, 0.1));
		}

		@Test
		void isKnownOnceItHasStoppedToGrow() {
			for (int second = 0; second < 5; second++) {
				UpstreamNeedTests.this.need.recordInitialCount(10 * second, Duration.ofSeconds(second).toNanos());
				assertThat(UpstreamNeedTests.this.need.isInitialCountKnown(), is(false));
			}
			UpstreamNeedTests.this.need.recordInitialCount(30, Duration.ofSeconds(8).toNanos());
			assertThat(UpstreamNeedTests.this.need.isInitialCountKnown(), is(true));
			assertThat(UpstreamNeedTests.this.need.upstreams(Duration.ofSeconds(8).toNanos()), equalTo(40.0));
		}

	}

	@Nested
	class CollectedReports {

		private final CollectedEngineTime engineTime = new CollectedEngineTime();

		private final LoadEndpoint daemon = new LoadEndpoint(new InetSocketAddress("127.0.0.1", 1_000), "a");

		private void report(long incarnation, long millis) {
			this.engineTime.record(this.daemon, incarnation, Map.of("engines", millis));
		}

		// Guards against a leader that takes a day of work for a burst.
		@Test
		void startWithTheFirstReportOfADaemon() {
			report(1, 500_000);
			report(1, 500_700);
			report(1, 500_300);
			assertThat(this.engineTime.totalMillis("engines"), equalTo(700L));
		}

		@Test
		void goOnWhenADaemonRestarts() {
			report(1, 500_000);
			report(2, 200);
			report(1, 500_900);
			report(2, 350);
			assertThat(this.engineTime.totalMillis("engines"), equalTo(350L));
		}

	}

}
