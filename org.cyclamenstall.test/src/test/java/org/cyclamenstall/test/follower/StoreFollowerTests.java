package org.cyclamenstall.test.follower;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Supplier;

import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.events.EventLog;
import org.cyclamenstall.internal.follower.Freshness;
import org.cyclamenstall.internal.follower.StoreFollower;
import org.cyclamenstall.internal.follower.StoreListener;
import org.cyclamenstall.junit.ManualClock;
import org.cyclamenstall.store.StoreChange;
import org.cyclamenstall.store.StoreChanges;
import org.cyclamenstall.store.StoreListing;
import org.cyclamenstall.store.StoreRecord;
import org.cyclamenstall.store.WatchedStore;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link StoreFollower} and {@link Freshness}.
 */
class StoreFollowerTests {

	private static final Duration BOUND = Duration.ofSeconds(5);

	private final ManualClock clock = new ManualClock();

	private final Deque<Supplier<Object>> answers = new ArrayDeque<>();

	private final List<String> calls = new ArrayList<>();

	private final List<String> told = new ArrayList<>();

	private final Freshness freshness = new Freshness(this.clock::nanoTime);

	private final StoreFollower follower = new StoreFollower(new ScriptedStore(), "", this.freshness,
			RandomSource.XO_RO_SHI_RO_128_PP.create(1), EventLog.NONE);

	StoreFollowerTests() {
		this.follower.addListener(new Listener());
	}

	private void answer(Supplier<Object> answer) {
		this.answers.add(answer);
	}

	private void fail(ErrorKind kind) {
		this.answers.add(() -> {
			throw new RouterException(kind, "scripted");
		});
	}

	private void steps(int count) {
		for (int step = 0; step < count; step++) {
			this.follower.step();
		}
	}

	private static StoreRecord record(String key, long version) {
		return new StoreRecord(key, new byte[0], version);
	}

	@Nested
	class WhenTheStoreAnswers {

		@Test
		void changesFollowTheListing() {
			answer(() -> new StoreListing(List.of(record("a", 3)), 7));
			answer(() -> new StoreChanges(List.of(new StoreChange("a", 9, null)), 9));
			answer(() -> new StoreChanges(List.of(), 12));
			steps(3);
			assertThat(StoreFollowerTests.this.calls, contains("list", "changes after 7", "changes after 9"));
			assertThat(StoreFollowerTests.this.told, contains("listed a", "removed a"));
		}

		@Test
		void freshnessCountsFromTheSendingOfTheQuestion() {
			answer(() -> {
				StoreFollowerTests.this.clock.advance(Duration.ofSeconds(4));
				return new StoreListing(List.of(), 1);
			});
			steps(1);
			StoreFollowerTests.this.clock.advance(Duration.ofMillis(999));
			assertThat(StoreFollowerTests.this.freshness.isWithin(BOUND), is(true));
			StoreFollowerTests.this.clock.advance(Duration.ofMillis(2));
			assertThat(StoreFollowerTests.this.freshness.isWithin(BOUND), is(false));
		}

	}

	@Nested
	class WhenTheStoreFails {

		@Test
		void listenersHearOfItOnceAndOfItsReturn() {
			answer(() -> new StoreListing(List.of(), 7));
			fail(ErrorKind.STORE_UNAVAILABLE);
			fail(ErrorKind.STORE_UNAVAILABLE);
			answer(() -> new StoreChanges(List.of(), 7));
			steps(4);
			assertThat(StoreFollowerTests.this.told, contains("lost", "regained"));
		}

		@Test
		void nothingIsConfirmedBeforeTheFirstListing() {
			fail(ErrorKind.STORE_UNAVAILABLE);
			steps(1);
			assertThat(StoreFollowerTests.this.freshness.isWithin(BOUND), is(false));
		}

		@Test
		void aLostHistoryIsListedAgain() {
			answer(() -> new StoreListing(List.of(), 7));
			fail(ErrorKind.STORE_HISTORY_LOST);
			answer(() -> new StoreListing(List.of(record("b", 20)), 21));
			steps(3);
			assertThat(StoreFollowerTests.this.calls, contains("list", "changes after 7", "list"));
			assertThat(StoreFollowerTests.this.told, contains("listed b"));
		}

	}

	private final class ScriptedStore implements WatchedStore {

		@Override
		public StoreListing list(String prefix, Duration timeout) {
			StoreFollowerTests.this.calls.add("list");
			return (StoreListing) StoreFollowerTests.this.answers.remove().get();
		}

		@Override
		public StoreChanges changesAfter(String prefix, long index, Duration wait, Duration timeout) {
			StoreFollowerTests.this.calls.add("changes after " + index);
			return (StoreChanges) StoreFollowerTests.this.answers.remove().get();
		}

	}

	private final class Listener implements StoreListener {

		@Override
		public void listed(List<StoreRecord> records) {
			records.forEach((record) -> StoreFollowerTests.this.told.add("listed " + record.key()));
		}

		@Override
		public void changed(StoreChange change) {
			StoreFollowerTests.this.told.add(((change.record() != null) ? "written " : "removed ") + change.key());
		}

		@Override
		public void lost() {
			StoreFollowerTests.this.told.add("lost");
		}

		@Override
		public void regained() {
			StoreFollowerTests.this.told.add("regained");
		}

	}

}
