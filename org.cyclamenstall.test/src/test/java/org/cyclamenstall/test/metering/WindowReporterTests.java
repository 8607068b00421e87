package org.cyclamenstall.test.metering;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.stream.LongStream;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenstall.control.ControlApi;
import org.cyclamenstall.control.ControlResult;
import org.cyclamenstall.control.UpstreamOrder;
import org.cyclamenstall.control.UsageReport;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.events.EventLog;
import org.cyclamenstall.internal.metering.CollectedCounts;
import org.cyclamenstall.internal.metering.FleetClock;
import org.cyclamenstall.internal.metering.WindowReporter;
import org.cyclamenstall.internal.metering.WindowSchedule;
import org.cyclamenstall.internal.peers.load.LoadEndpoint;
import org.cyclamenstall.junit.ManualClock;
import org.cyclamenstall.leadership.Leader;
import org.cyclamenstall.leadership.Leadership;
import org.cyclamenstall.store.ConditionalWrite;
import org.cyclamenstall.store.ConditionalWriteResult;
import org.cyclamenstall.store.LeasedStore;
import org.cyclamenstall.store.StoreChanges;
import org.cyclamenstall.store.StoreLease;
import org.cyclamenstall.store.StoreListing;
import org.cyclamenstall.store.StoreRecord;
import org.cyclamenstall.store.WatchedStore;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link WindowReporter}, alone and with leaders that take turns in random
 * interleavings of lost and late answers.
 */
class WindowReporterTests {

	/** Property with the number of seeds to explore. */
	private static final long SEEDS = Long.getLong("cyclamenstall.windowSeeds", 1_500);

	private static final WindowSchedule SCHEDULE = new WindowSchedule(Duration.ofSeconds(5), Duration.ofSeconds(10));

	private static final LoadEndpoint DAEMON = new LoadEndpoint(new InetSocketAddress("127.0.0.1", 1_000), "a");

	/**
	 * Leaders that take turns, each with counts of its own, so that their totals of a
	 * window differ.
	 */
	private static final class Turns {

		private static final int LEADERS = 3;

		private static final int STEPS = 160;

		private final ManualClock clock = new ManualClock();

		private final UniformRandomProvider random;

		private final FakeStore store;

		private final Map<Long, Map<String, Long>> accepted = new TreeMap<>();

		private final List<String> violations = new ArrayList<>();

		private final List<Actor> actors = new ArrayList<>();

		private int reportsSent;

		private long highestToken;

		private int leader;

		Turns(long seed, boolean ignoresConditions) {
			this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
			this.store = new FakeStore(this.random, ignoresConditions);
			for (int index = 0; index < LEADERS; index++) {
				this.actors.add(new Actor(this, index));
			}
			this.highestToken = 1;
			this.actors.get(0).token = 1;
		}

		Turns run() {
			for (int step = 0; step < STEPS; step++) {
				this.clock.advance(Duration.ofMillis(500));
				this.store.executeLateWrites();
				if (this.random.nextDouble() < 0.06) {
					change();
				}
				this.actors.forEach(Actor::count);
				this.actors.get(this.leader).reporter.run();
				this.store.calm = step > STEPS - 40;
			}
			return this;
		}

		private void change() {
			this.actors.get(this.leader).token = 0;
			this.leader = this.random.nextInt(LEADERS);
			this.highestToken++;
			this.actors.get(this.leader).token = this.highestToken;
		}

		ControlResult accept(UsageReport report, long token) {
			this.reportsSent++;
			if (!this.store.calm && this.random.nextDouble() < 0.2) {
				return ControlResult.BUSY;
			}
			if (token < this.highestToken) {
				return ControlResult.CONFLICT;
			}
			Map<String, Long> earlier = this.accepted.putIfAbsent(report.window(), report.requestsByAccount());
			if (earlier != null && !earlier.equals(report.requestsByAccount())) {
				this.violations.add("two reports of window " + report.window());
			}
			return (!this.store.calm && this.random.nextDouble() < 0.2) ? ControlResult.UNKNOWN
					: ControlResult.ACCEPTED;
		}

	}

	/**
	 * Daemon that leads at times.
	 */
	private static final class Actor implements Leadership, ControlApi {

		private final Turns turns;

		private final int number;

		private final CollectedCounts counts = new CollectedCounts();

		private final FleetClock clock;

		private final WindowReporter reporter;

		private int counted;

		private long token;

		Actor(Turns turns, int number) {
			this.turns = turns;
			this.number = number;
			this.clock = new FleetClock(turns.clock::nanoTime, () -> turns.clock.nanoTime() / 1_000_000);
			this.reporter = new WindowReporter(SCHEDULE, this.counts, this.clock, turns.store, turns.store, this, this,
					EventLog.NONE);
		}

		void count() {
			this.counted += 1 + this.number;
			this.counts.merge(DAEMON, 1, SCHEDULE.windowAt(this.clock.millis()), Map.of("office", this.counted));
		}

		@Override
		public OptionalLong tokenFor(Duration callTime) {
			return (this.token != 0) ? OptionalLong.of(this.token) : OptionalLong.empty();
		}

		@Override
		public Optional<Leader> leader() {
			return Optional.empty();
		}

		@Override
		public void recordRefusedToken(long refusedToken) {
			this.token = 0;
		}

		@Override
		public ControlResult reportUsage(UsageReport report, long usedToken, Duration timeout) {
			return this.turns.accept(report, usedToken);
		}

		@Override
		public ControlResult orderUpstreams(UpstreamOrder order, long usedToken, Duration timeout) {
			return ControlResult.REJECTED;
		}

	}

	/**
	 * Store whose answers are lost and whose writes are late at times.
	 */
	private static final class FakeStore implements WatchedStore, LeasedStore {

		private final Map<String, StoreRecord> records = new HashMap<>();

		private final List<ConditionalWrite> lateWrites = new ArrayList<>();

		private final UniformRandomProvider random;

		/** Whether writes are executed although their condition does not hold. */
		private final boolean ignoresConditions;

		private boolean calm;

		private long version;

		FakeStore(UniformRandomProvider random, boolean ignoresConditions) {
			this.random = random;
			this.ignoresConditions = ignoresConditions;
		}

		void executeLateWrites() {
			this.lateWrites.removeIf((write) -> {
				boolean executed = this.random.nextDouble() < 0.3;
				if (executed) {
					execute(write);
				}
				return executed;
			});
		}

		private ConditionalWriteResult execute(ConditionalWrite write) {
			StoreRecord current = this.records.get(write.key());
			long currentVersion = (current != null) ? current.version() : ConditionalWrite.ABSENT;
			if (currentVersion != write.expectedVersion() && !this.ignoresConditions) {
				return new ConditionalWriteResult.Conflict(current);
			}
			this.version++;
			this.records.put(write.key(), new StoreRecord(write.key(), write.value(), this.version));
			return new ConditionalWriteResult.Applied(this.version);
		}

		@Override
		public ConditionalWriteResult write(ConditionalWrite write, Duration timeout) {
			if (this.calm) {
				return execute(write);
			}
			double chance = this.random.nextDouble();
			if (chance < 0.15) {
				this.lateWrites.add(write);
				return new ConditionalWriteResult.Unknown("late");
			}
			ConditionalWriteResult result = execute(write);
			return (chance < 0.3) ? new ConditionalWriteResult.Unknown("answer lost") : result;
		}

		@Override
		public StoreListing list(String prefix, Duration timeout) {
			if (!this.calm && this.random.nextDouble() < 0.2) {
				throw new RouterException(ErrorKind.STORE_UNAVAILABLE, "scripted");
			}
			return new StoreListing(List.copyOf(this.records.values()), this.version);
		}

		@Override
		public StoreChanges changesAfter(String prefix, long index, Duration wait, Duration timeout) {
			throw new UnsupportedOperationException();
		}

		@Override
		public StoreLease obtainLease(Duration duration, Duration timeout) {
			throw new UnsupportedOperationException();
		}

		@Override
		public boolean renewLease(long leaseId, Duration timeout) {
			throw new UnsupportedOperationException();
		}

		@Override
		public void endLease(long leaseId, Duration timeout) {
			throw new UnsupportedOperationException();
		}

	}

	@Nested
	class OneLeader {

		@Test
		void reportsEachWindowOnceWithItsTotals() {
			Turns turns = new Turns(1, false);
			turns.store.calm = true;
			Actor actor = turns.actors.get(0);
			Map<Long, Map<String, Long>> lastCounts = new TreeMap<>();
			for (int step = 0; step < 40; step++) {
				turns.clock.advance(Duration.ofMillis(500));
				if (step < 20) {
					actor.count();
					lastCounts.put(SCHEDULE.windowAt(actor.clock.millis()), Map.of("office", (long) actor.counted));
				}
				actor.reporter.run();
			}
			assertThat(turns.accepted, equalTo(lastCounts));
			assertThat(turns.reportsSent, is(lastCounts.size()));
		}

		@Test
		void reportsNothingWhileItDoesNotLead() {
			Turns turns = new Turns(1, false);
			Actor follower = turns.actors.get(1);
			for (int step = 0; step < 60; step++) {
				turns.clock.advance(Duration.ofMillis(500));
				follower.count();
				follower.reporter.run();
			}
			assertThat(turns.accepted.entrySet(), hasSize(0));
		}

	}

	@Nested
	class LeadersThatTakeTurns {

		// Guards against two reports of one window with different counts.
		@Test
		void neverReportTwoTruths() {
			List<String> violations = LongStream.range(0, SEEDS)
				.boxed()
				.flatMap((seed) -> new Turns(seed, false).run().violations.stream()
					.limit(1)
					.map((text) -> seed + ": " + text))
				.toList();
			assertThat(violations, empty());
		}

		@Test
		void missNoWindow() {
			long windows = LongStream.range(0, 50)
				.map((seed) -> new Turns(seed, false).run().accepted.size())
				.min()
				.orElse(0);
			assertThat(windows, greaterThan(12L));
		}

		@Test
		void theExplorationFindsAStoreThatIgnoresConditions() {
			long found = LongStream.range(0, 100)
				.filter((seed) -> !new Turns(seed, true).run().violations.isEmpty())
				.count();
			assertThat(found, greaterThan(0L));
		}

	}

}
