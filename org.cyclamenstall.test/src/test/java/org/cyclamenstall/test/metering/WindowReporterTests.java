package org.cyclamenstall.test.metering;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
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
import org.cyclamenstall.store.StoreVersions;
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

	private static final Duration LEASE = Duration.ofSeconds(3);

	private static final LoadEndpoint DAEMON = new LoadEndpoint(new InetSocketAddress("127.0.0.1", 1_000), "a");

	/**
	 * Leaders that take turns, each with counts of its own, so that their totals of a
	 * window differ.
	 */
	private static final class Turns {

		private static final int LEADERS = 3;

		private static final int STEPS = 160;

		/** Steps of half a second for which a leader may act without the store. */
		private static final int LEASE_STEPS = 6;

		private final ManualClock clock = new ManualClock();

		private final UniformRandomProvider random;

		private final FakeStore store;

		private final Map<Long, Map<String, Long>> accepted = new TreeMap<>();

		private final List<String> violations = new ArrayList<>();

		private final List<Actor> actors = new ArrayList<>();

		private int reportsSent;

		private long highestToken;

		private int leader;

		private boolean restores;

		/** Whether the reporters are not told of restores: a planted fault. */
		private boolean restoresUnnoticed;

		private int restoreCount;

		/** Step at which a restore has ended the last leadership. */
		private int nextLeaderAtStep = -1;

		static Turns withRestores(long seed, boolean unnoticed) {
			Turns turns = new Turns(seed, false);
			turns.restores = true;
			turns.restoresUnnoticed = unnoticed;
			return turns;
		}

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
				this.store.copy();
				if (step == this.nextLeaderAtStep) {
					this.actors.forEach(Actor::learn);
					change();
				}
				else if (step > this.nextLeaderAtStep && this.random.nextDouble() < 0.06) {
					change();
				}
				if (this.restores && step < STEPS - 60 && this.random.nextDouble() < 0.04) {
					restore(step);
				}
				this.actors.forEach(Actor::count);
				this.actors.get(this.leader).reporter.run();
				this.store.calm = step > STEPS - 40;
			}
			return this;
		}

		// The leader may act until its lease would have ended.
		private void restore(int step) {
			this.restoreCount++;
			this.store.restore();
			this.actors.stream().filter((actor) -> this.random.nextBoolean()).forEach(Actor::learn);
			this.nextLeaderAtStep = step + LEASE_STEPS + this.random.nextInt(3);
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
	private static final class Actor implements Leadership, ControlApi, WatchedStore, LeasedStore {

		private final Turns turns;

		private final int number;

		private final CollectedCounts counts = new CollectedCounts();

		private final FleetClock clock;

		private final WindowReporter reporter;

		private int counted;

		private long token;

		private long generation;

		Actor(Turns turns, int number) {
			this.turns = turns;
			this.number = number;
			this.clock = new FleetClock(turns.clock::nanoTime, () -> turns.clock.nanoTime() / 1_000_000);
			this.reporter = new WindowReporter(SCHEDULE, this.counts, this.clock, this, this, this, this,
					EventLog.NONE);
		}

		void count() {
			this.counted += 1 + this.number;
			this.counts.merge(DAEMON, 1, SCHEDULE.windowAt(this.clock.millis()), Map.of("office", this.counted));
		}

		void learn() {
			if (this.turns.store.generation != this.generation) {
				this.generation = this.turns.store.generation;
				this.token = 0;
				if (!this.turns.restoresUnnoticed) {
					this.reporter.onStoreRestored(LEASE);
				}
			}
		}

		@Override
		public StoreListing list(String prefix, Duration timeout) {
			StoreListing listing = this.turns.store.list();
			learn();
			return listing;
		}

		// Decides like the client of the store whether an expected version counts.
		@Override
		public ConditionalWriteResult write(ConditionalWrite write, Duration timeout) {
			ConditionalWriteResult result = this.turns.store.write(write);
			learn();
			boolean expectationVoid = write.expectedVersion() != ConditionalWrite.ABSENT
					&& StoreVersions.generation(write.expectedVersion()) != this.generation;
			return expectationVoid ? new ConditionalWriteResult.Unknown("restored") : result;
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
	private static final class FakeStore {

		private static final int COPIES = 12;

		private final Map<String, StoreRecord> records = new HashMap<>();

		/** Records of the last steps, the newest first. */
		private final Deque<Map<String, StoreRecord>> copies = new ArrayDeque<>();

		private long generation;

		private final List<ConditionalWrite> lateWrites = new ArrayList<>();

		private final UniformRandomProvider random;

		/** Whether writes are executed although their condition does not hold. */
		private final boolean ignoresConditions;

		private boolean calm;

		private long revision;

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
			long currentRevision = (current != null) ? StoreVersions.revision(current.version())
					: ConditionalWrite.ABSENT;
			if (currentRevision != StoreVersions.revision(write.expectedVersion()) && !this.ignoresConditions) {
				return new ConditionalWriteResult.Conflict(current);
			}
			this.revision++;
			StoreRecord record = new StoreRecord(write.key(), write.value(),
					StoreVersions.of(this.generation, this.revision));
			this.records.put(write.key(), record);
			return new ConditionalWriteResult.Applied(record.version());
		}

		void copy() {
			this.copies.push(Map.copyOf(this.records));
			if (this.copies.size() > COPIES) {
				this.copies.removeLast();
			}
		}

		// Gives out the revisions since the copy again.
		void restore() {
			Map<String, StoreRecord> copy = List.copyOf(this.copies).get(this.random.nextInt(this.copies.size()));
			this.generation++;
			this.records.clear();
			this.revision = 0;
			copy.forEach((key, record) -> {
				long copiedRevision = StoreVersions.revision(record.version());
				this.revision = Math.max(this.revision, copiedRevision);
				this.records.put(key,
						new StoreRecord(key, record.value(), StoreVersions.of(this.generation, copiedRevision)));
			});
		}

		ConditionalWriteResult write(ConditionalWrite write) {
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

		StoreListing list() {
			if (!this.calm && this.random.nextDouble() < 0.2) {
				throw new RouterException(ErrorKind.STORE_UNAVAILABLE, "scripted");
			}
			return new StoreListing(List.copyOf(this.records.values()),
					StoreVersions.of(this.generation, this.revision));
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

		// Guards against a second report of a window whose record was lost when the store
		// was restored from an older copy.
		@Test
		void neverReportTwoTruthsWithRestores() {
			List<String> violations = LongStream.range(0, SEEDS)
				.boxed()
				.flatMap((seed) -> Turns.withRestores(seed, false).run().violations.stream()
					.limit(1)
					.map((text) -> seed + ": " + text))
				.toList();
			assertThat(violations, empty());
		}

		@Test
		void theExplorationFindsRestoresThatAreNotNoticed() {
			long found = LongStream.range(0, 100)
				.filter((seed) -> !Turns.withRestores(seed, true).run().violations.isEmpty())
				.count();
			assertThat(found, greaterThan(25L));
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
