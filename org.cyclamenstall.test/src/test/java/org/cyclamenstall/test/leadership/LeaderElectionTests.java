package org.cyclamenstall.test.leadership;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.LongStream;

import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenstall.internal.leadership.ElectionAction;
import org.cyclamenstall.internal.leadership.LeaderElection;
import org.cyclamenstall.store.ConditionalWriteResult;
import org.cyclamenstall.store.StoreLease;
import org.cyclamenstall.store.StoreRecord;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link LeaderElection}, alone and in explored interleavings.
 */
class LeaderElectionTests {

	/** Property with the number of seeds to explore. */
	private static final long SEEDS = Long.getLong("cyclamenstall.electionSeeds", 1_500);

	private static final long SECOND = Duration.ofSeconds(1).toNanos();

	private static final long LEASE_ID = 7;

	private boolean recordIsOwn;

	private final LeaderElection election = new LeaderElection((record) -> this.recordIsOwn, Duration.ofSeconds(3),
			RandomSource.XO_RO_SHI_RO_128_PP.create(1), 0);

	private void obtainLease(long sentAtNanos) {
		this.election.onRecord(null, 5, 0);
		this.election.onLeaseObtained(new StoreLease(LEASE_ID, Duration.ofSeconds(3)), sentAtNanos);
	}

	private static StoreRecord record(long version) {
		return new StoreRecord("leader", new byte[0], version);
	}

	private static List<String> explore(long seed, Duration earlyLeaseEnd) {
		return new ElectionExplorer(seed, earlyLeaseEnd).run();
	}

	@Nested
	class OneCandidate {

		@Test
		void isNoCandidateBeforeTheRecordIsKnown() {
			assertThat(LeaderElectionTests.this.election.next(10 * SECOND), instanceOf(ElectionAction.Await.class));
		}

		@Test
		void theTokenIsTheVersionOfItsRecord() {
			obtainLease(10 * SECOND);
			LeaderElectionTests.this.election.onRecordWritten(new ConditionalWriteResult.Applied(12), 10 * SECOND);
			assertThat(LeaderElectionTests.this.election.tokenUntil(11 * SECOND), equalTo(OptionalLong.of(12)));
		}

		@Test
		void theLeaseIsCountedFromTheSendingOfItsLastRenewal() {
			obtainLease(10 * SECOND);
			LeaderElectionTests.this.election.onRecordWritten(new ConditionalWriteResult.Applied(12), 12 * SECOND);
			assertThat(LeaderElectionTests.this.election.tokenUntil(13 * SECOND), equalTo(OptionalLong.empty()));
			LeaderElectionTests.this.election.onLeaseRenewed(12 * SECOND);
			assertThat(LeaderElectionTests.this.election.tokenUntil(14 * SECOND), equalTo(OptionalLong.of(12)));
			assertThat(LeaderElectionTests.this.election.tokenUntil(15 * SECOND), equalTo(OptionalLong.empty()));
		}

		@Test
		void aWriteWithoutAResponseIsRepeatedAndItsOwnRecordRecognised() {
			obtainLease(10 * SECOND);
			LeaderElectionTests.this.election.onRecordWritten(new ConditionalWriteResult.Unknown("lost"), 10 * SECOND);
			assertThat(LeaderElectionTests.this.election.next(11 * SECOND),
					equalTo(new ElectionAction.WriteRecord(LEASE_ID)));
			LeaderElectionTests.this.recordIsOwn = true;
			LeaderElectionTests.this.election.onRecordWritten(new ConditionalWriteResult.Conflict(record(20)),
					11 * SECOND);
			assertThat(LeaderElectionTests.this.election.tokenUntil(12 * SECOND), equalTo(OptionalLong.of(20)));
		}

		@Test
		void theRecordOfAnotherEndsTheCandidacy() {
			obtainLease(10 * SECOND);
			LeaderElectionTests.this.election.onRecordWritten(new ConditionalWriteResult.Conflict(record(20)),
					10 * SECOND);
			assertThat(LeaderElectionTests.this.election.next(10 * SECOND),
					equalTo(new ElectionAction.EndLease(LEASE_ID)));
			LeaderElectionTests.this.election.onUnusedLeaseEnded();
			assertThat(LeaderElectionTests.this.election.next(20 * SECOND), instanceOf(ElectionAction.Await.class));
		}

		@Test
		void aLeaderThatWasCutOffLeadsAgainWithItsTokenIfItsLeaseWasKept() {
			obtainLease(10 * SECOND);
			LeaderElectionTests.this.election.onRecordWritten(new ConditionalWriteResult.Applied(12), 10 * SECOND);
			LeaderElectionTests.this.election.onLeaseNotRenewed(12 * SECOND);
			assertThat(LeaderElectionTests.this.election.tokenUntil(14 * SECOND).isPresent(), is(false));
			assertThat(LeaderElectionTests.this.election.next(14 * SECOND),
					equalTo(new ElectionAction.RenewLease(LEASE_ID)));
			LeaderElectionTests.this.election.onLeaseRenewed(14 * SECOND);
			assertThat(LeaderElectionTests.this.election.tokenUntil(15 * SECOND), equalTo(OptionalLong.of(12)));
		}

		@Test
		void aRefusedTokenIsGivenUpAndTheLeaseEnded() {
			obtainLease(10 * SECOND);
			LeaderElectionTests.this.election.onRecordWritten(new ConditionalWriteResult.Applied(12), 10 * SECOND);
			LeaderElectionTests.this.election.onTokenRefused(12, 10 * SECOND);
			assertThat(LeaderElectionTests.this.election.tokenUntil(10 * SECOND).isPresent(), is(false));
			assertThat(LeaderElectionTests.this.election.next(10 * SECOND),
					equalTo(new ElectionAction.EndLease(LEASE_ID)));
		}

		@Test
		void aFormerLeaderIsNoCandidateForOneLease() {
			obtainLease(10 * SECOND);
			LeaderElectionTests.this.election.onRecordWritten(new ConditionalWriteResult.Applied(12), 10 * SECOND);
			LeaderElectionTests.this.election.onLeaseEnded(12 * SECOND);
			LeaderElectionTests.this.election.onRecord(null, 14, 12 * SECOND);
			assertThat(LeaderElectionTests.this.election.next(14 * SECOND), instanceOf(ElectionAction.Await.class));
			assertThat(LeaderElectionTests.this.election.next(17 * SECOND),
					instanceOf(ElectionAction.ObtainLease.class));
		}

	}

	@Nested
	class SeveralCandidates {

		@Test
		void atMostOneMayActInEachInterleaving() {
			List<String> violations = LongStream.range(0, SEEDS)
				.boxed()
				.flatMap((seed) -> explore(seed, Duration.ZERO).stream().limit(1).map((text) -> seed + ": " + text))
				.toList();
			assertThat(violations, empty());
		}

		// Guards against two leaders, one in each generation of a store that was restored
		// from an older copy, and against tokens that are given out again.
		@Test
		void atMostOneMayActInEachInterleavingWithRestores() {
			List<String> violations = LongStream.range(0, SEEDS)
				.boxed()
				.flatMap((seed) -> ElectionExplorer.withRestores(seed, false)
					.run()
					.stream()
					.limit(1)
					.map((text) -> seed + ": " + text))
				.toList();
			assertThat(violations, empty());
		}

		@Test
		void theExplorationFindsTokensWithoutTheGeneration() {
			long found = LongStream.range(0, 50)
				.filter((seed) -> !ElectionExplorer.withRestores(seed, true).run().isEmpty())
				.count();
			assertThat(found, greaterThan(25L));
		}

		@Test
		void theExplorationReachesManyRestores() {
			int restores = 0;
			for (long seed = 0; seed < 50; seed++) {
				ElectionExplorer explorer = ElectionExplorer.withRestores(seed, false);
				explorer.run();
				restores += explorer.restoreCount();
			}
			assertThat(restores, greaterThan(150));
		}

		@Test
		void theExplorationFindsLeasesThatEndTooEarly() {
			long found = LongStream.range(0, 50)
				.filter((seed) -> !explore(seed, Duration.ofMillis(2_500)).isEmpty())
				.count();
			assertThat(found, greaterThan(0L));
		}

		@Test
		void theExplorationReachesManyLeaders() {
			int leaderships = 0;
			for (long seed = 0; seed < 50; seed++) {
				ElectionExplorer explorer = new ElectionExplorer(seed, Duration.ZERO);
				explorer.run();
				leaderships += explorer.leaderCount();
			}
			assertThat(leaderships, greaterThan(150));
		}

	}

}
