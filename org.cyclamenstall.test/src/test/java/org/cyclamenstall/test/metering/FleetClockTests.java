package org.cyclamenstall.test.metering;

import java.net.InetSocketAddress;
import java.time.Duration;

import org.cyclamenstall.internal.metering.FleetClock;
import org.cyclamenstall.internal.peers.load.LoadEndpoint;
import org.cyclamenstall.junit.ManualClock;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

/**
 * Tests of {@link FleetClock}.
 */
class FleetClockTests {

	private static final long START_MILLIS = 1_000_000;

	private final ManualClock clock = new ManualClock();

	private long jumpMillis;

	private final FleetClock fleetClock = new FleetClock(this.clock::nanoTime, () -> trueMillis() + this.jumpMillis);

	private long trueMillis() {
		return START_MILLIS + this.clock.nanoTime() / 1_000_000;
	}

	private void recordOthers(long... jumps) {
		for (int index = 0; index < jumps.length; index++) {
			this.fleetClock.record(new LoadEndpoint(new InetSocketAddress("127.0.0.1", 1_000 + index), "a"),
					trueMillis() + jumps[index]);
		}
	}

	@Nested
	class AlongWithOthers {

		@Test
		void theMedianIgnoresTheJumpsOfAMinority() {
			FleetClockTests.this.jumpMillis = 2_000;
			recordOthers(0, 1, -2_000, 2);
			FleetClockTests.this.fleetClock.adoptMedian();
			assertThat(FleetClockTests.this.fleetClock.millis(), equalTo(trueMillis() + 1));
		}

		@Test
		void oldTimesDoNotCount() {
			recordOthers(500, 500, 500, 500);
			FleetClockTests.this.clock.advance(Duration.ofSeconds(3));
			recordOthers(0, 0);
			FleetClockTests.this.fleetClock.adoptMedian();
			assertThat(FleetClockTests.this.fleetClock.millis(), equalTo(trueMillis()));
		}

	}

	@Nested
	class Alone {

		@Test
		void aJumpOfTheHostDoesNotMoveIt() {
			FleetClockTests.this.jumpMillis = -3_000;
			FleetClockTests.this.clock.advance(Duration.ofSeconds(1));
			FleetClockTests.this.fleetClock.adoptMedian();
			assertThat(FleetClockTests.this.fleetClock.millis(), equalTo(trueMillis()));
		}

		@Test
		void theTimeOfTheLeaderIsHeld() {
			FleetClockTests.this.fleetClock.adopt(trueMillis() + 40);
			FleetClockTests.this.clock.advance(Duration.ofSeconds(30));
			assertThat(FleetClockTests.this.fleetClock.millis(), equalTo(trueMillis() + 40));
		}

	}

}
