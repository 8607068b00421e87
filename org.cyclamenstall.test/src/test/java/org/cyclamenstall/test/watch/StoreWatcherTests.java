package org.cyclamenstall.test.watch;

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
import org.cyclamenstall.internal.watch.StoreListener;
import org.cyclamenstall.internal.watch.StoreStaleness;
import org.cyclamenstall.internal.watch.StoreWatcher;
import org.cyclamenstall.internal.watch.WatchTiming;
import org.cyclamenstall.junit.ManualClock;
import org.cyclamenstall.store.StoreChange;
import org.cyclamenstall.store.StoreChanges;
import org.cyclamenstall.store.StoreListing;
import org.cyclamenstall.store.StoreRecord;
import org.cyclamenstall.store.StoreVersions;
import org.cyclamenstall.store.WatchedStore;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link StoreWatcher} and {@link StoreStaleness}.
 */
class StoreWatcherTests {

	private static final Duration MAXIMUM_AGE = Duration.ofSeconds(5);

	private static final Duration LONG_POLL_WAIT = Duration.ofSeconds(3);

	private final ManualClock clock = new ManualClock();

	private final Deque<Supplier<Object>> responses = new ArrayDeque<>();

	private final List<String> calls = new ArrayList<>();

	private final List<Duration> waits = new ArrayList<>();

	private @Nullable Duration maximumPollTime;

	private boolean confirmsState = true;

	private final List<String> notifications = new ArrayList<>();

	private final StoreStaleness staleness = new StoreStaleness(this.clock::nanoTime);

	private final StoreWatcher watcher = new StoreWatcher(new ScriptedStore(), "", this.staleness,
			new WatchTiming(LONG_POLL_WAIT, Duration.ofMillis(100)), RandomSource.XO_RO_SHI_RO_128_PP.create(1),
			EventLog.NONE);

	StoreWatcherTests() {
		this.watcher.addListener(new RecordingListener());
	}

	private void respondWith(Supplier<Object> response) {
		this.responses.add(response);
	}

	private void failWith(ErrorKind kind) {
		this.responses.add(() -> {
			throw new RouterException(kind, "scripted");
		});
	}

	private void pollTimes(int count) {
		for (int call = 0; call < count; call++) {
			this.watcher.poll();
		}
	}

	private static StoreChanges noChanges() {
		return new StoreChanges(List.of(), 7);
	}

	private static StoreRecord record(String key, long version) {
		return new StoreRecord(key, new byte[0], version);
	}

	@Nested
	class WhenTheStoreResponds {

		@Test
		void changesAreReadAfterTheListing() {
			respondWith(() -> new StoreListing(List.of(record("a", 3)), 7));
			respondWith(() -> new StoreChanges(List.of(new StoreChange("a", 9, null)), 9));
			respondWith(() -> new StoreChanges(List.of(), 12));
			pollTimes(3);
			assertThat(StoreWatcherTests.this.calls, contains("list", "changes after 7", "changes after 9"));
			assertThat(StoreWatcherTests.this.notifications, contains("listed a", "removed a"));
		}

		@Test
		void stalenessIsMeasuredFromTheRequest() {
			respondWith(() -> {
				StoreWatcherTests.this.clock.advance(Duration.ofSeconds(4));
				return new StoreListing(List.of(), 1);
			});
			pollTimes(1);
			StoreWatcherTests.this.clock.advance(Duration.ofMillis(999));
			assertThat(StoreWatcherTests.this.staleness.isWithin(MAXIMUM_AGE), is(true));
			StoreWatcherTests.this.clock.advance(Duration.ofMillis(2));
			assertThat(StoreWatcherTests.this.staleness.isWithin(MAXIMUM_AGE), is(false));
		}

	}

	@Nested
	class WhenTheStoreIsRestored {

		@Test
		void theListenersAreToldBeforeTheRecordsOfTheCopy() {
			respondWith(() -> new StoreListing(List.of(), StoreVersions.of(1, 7)));
			failWith(ErrorKind.STORE_HISTORY_LOST);
			respondWith(() -> new StoreListing(List.of(record("a", StoreVersions.of(2, 5))), StoreVersions.of(2, 6)));
			pollTimes(3);
			assertThat(StoreWatcherTests.this.notifications, contains("restored", "listed a"));
		}

		@Test
		void aListenerThatKnowsMoreThanTheCopyKeepsItFromBeingConfirmed() {
			StoreWatcherTests.this.confirmsState = false;
			respondWith(() -> new StoreListing(List.of(), StoreVersions.of(2, 6)));
			pollTimes(1);
			assertThat(StoreWatcherTests.this.staleness.isWithin(MAXIMUM_AGE), is(false));
		}

	}

	@Nested
	class WhenMemoryIsExhausted {

		@Test
		void theErrorIsPassedOnAndTheRecordsAreListedAgain() {
			respondWith(() -> new StoreListing(List.of(), 7));
			respondWith(() -> {
				throw new OutOfMemoryError("scripted");
			});
			respondWith(() -> new StoreListing(List.of(), 9));
			pollTimes(1);
			assertThat(endsWithAnError(), is(true));
			pollTimes(1);
			assertThat(StoreWatcherTests.this.calls, contains("list", "changes after 7", "list"));
		}

		private boolean endsWithAnError() {
			try {
				StoreWatcherTests.this.watcher.poll();
				return false;
			}
			catch (OutOfMemoryError ex) {
				return true;
			}
		}

	}

	@Nested
	class WhileNothingChanges {

		private static final Duration NOTIFICATION_DELAY = Duration.ofSeconds(1);

		@Test
		void aPollThatWaitedInFullConfirmsTheStateAtItsEnd() {
			respondWith(() -> new StoreListing(List.of(), 7));
			respondAfter(LONG_POLL_WAIT);
			pollTimes(2);
			StoreWatcherTests.this.clock.advance(MAXIMUM_AGE.minus(NOTIFICATION_DELAY).minusMillis(1));
			assertThat(StoreWatcherTests.this.staleness.isWithin(MAXIMUM_AGE), is(true));
			StoreWatcherTests.this.clock.advance(Duration.ofMillis(2));
			assertThat(StoreWatcherTests.this.staleness.isWithin(MAXIMUM_AGE), is(false));
		}

		@Test
		void aPollThatReturnsEarlyConfirmsTheStateOfItsRequest() {
			respondWith(() -> new StoreListing(List.of(), 7));
			respondAfter(LONG_POLL_WAIT.minusMillis(1));
			pollTimes(2);
			StoreWatcherTests.this.clock.advance(MAXIMUM_AGE.minus(LONG_POLL_WAIT).plusMillis(2));
			assertThat(StoreWatcherTests.this.staleness.isWithin(MAXIMUM_AGE), is(false));
		}

		@Test
		void aResponseThatArrivesLateConfirmsNoLaterState() {
			respondWith(() -> new StoreListing(List.of(), 7));
			respondAfter(LONG_POLL_WAIT.plusSeconds(2));
			pollTimes(2);
			StoreWatcherTests.this.clock.advance(MAXIMUM_AGE.minus(NOTIFICATION_DELAY).minusSeconds(2).plusMillis(1));
			assertThat(StoreWatcherTests.this.staleness.isWithin(MAXIMUM_AGE), is(false));
		}

		@Test
		void aListenerCanShortenTheNextPoll() {
			StoreWatcherTests.this.maximumPollTime = Duration.ofMillis(200);
			respondWith(() -> new StoreListing(List.of(), 7));
			respondWith(StoreWatcherTests::noChanges);
			pollTimes(2);
			assertThat(StoreWatcherTests.this.waits, contains(Duration.ofMillis(200)));
		}

		private void respondAfter(Duration elapsed) {
			respondWith(() -> {
				StoreWatcherTests.this.clock.advance(elapsed);
				return noChanges();
			});
		}

	}

	@Nested
	class WhenTheStoreFails {

		@Test
		void listenersAreNotifiedOnceOfTheOutageAndOfTheRecovery() {
			respondWith(() -> new StoreListing(List.of(), 7));
			failWith(ErrorKind.STORE_UNAVAILABLE);
			failWith(ErrorKind.STORE_UNAVAILABLE);
			respondWith(() -> new StoreChanges(List.of(), 7));
			pollTimes(4);
			assertThat(StoreWatcherTests.this.notifications, contains("lost", "regained"));
		}

		// Guards against a backlog of changes that takes longer than a poll may last, so
		// that the state stayed old until the store had discarded its history.
		@Test
		void changesThatDoNotArriveInTimeAreReplacedByAListing() {
			respondWith(() -> new StoreListing(List.of(), 7));
			failWith(ErrorKind.STORE_UNAVAILABLE);
			respondWith(() -> new StoreListing(List.of(record("b", 20)), 21));
			respondWith(() -> new StoreChanges(List.of(), 21));
			pollTimes(4);
			assertThat(StoreWatcherTests.this.calls, contains("list", "changes after 7", "list", "changes after 21"));
			assertThat(StoreWatcherTests.this.notifications, contains("lost", "regained", "listed b"));
		}

		@Test
		void changesAreTriedAgainAfterAListingThatFailed() {
			respondWith(() -> new StoreListing(List.of(), 7));
			failWith(ErrorKind.STORE_UNAVAILABLE);
			failWith(ErrorKind.STORE_UNAVAILABLE);
			respondWith(() -> new StoreChanges(List.of(), 7));
			pollTimes(4);
			assertThat(StoreWatcherTests.this.calls, contains("list", "changes after 7", "list", "changes after 7"));
		}

		@Test
		void nothingIsConfirmedBeforeTheFirstListing() {
			failWith(ErrorKind.STORE_UNAVAILABLE);
			pollTimes(1);
			assertThat(StoreWatcherTests.this.staleness.isWithin(MAXIMUM_AGE), is(false));
		}

		@Test
		void recordsAreListedAgainAfterAGapInTheHistory() {
			respondWith(() -> new StoreListing(List.of(), 7));
			failWith(ErrorKind.STORE_HISTORY_LOST);
			respondWith(() -> new StoreListing(List.of(record("b", 20)), 21));
			pollTimes(3);
			assertThat(StoreWatcherTests.this.calls, contains("list", "changes after 7", "list"));
			assertThat(StoreWatcherTests.this.notifications, contains("listed b"));
		}

	}

	private final class ScriptedStore implements WatchedStore {

		@Override
		public StoreListing list(String prefix, Duration timeout) {
			StoreWatcherTests.this.calls.add("list");
			return (StoreListing) StoreWatcherTests.this.responses.remove().get();
		}

		@Override
		public StoreChanges changesAfter(String prefix, long index, Duration wait, Duration timeout) {
			StoreWatcherTests.this.calls.add("changes after " + index);
			StoreWatcherTests.this.waits.add(wait);
			return (StoreChanges) StoreWatcherTests.this.responses.remove().get();
		}

	}

	private final class RecordingListener implements StoreListener {

		@Override
		public @Nullable Duration maximumPollTime() {
			return StoreWatcherTests.this.maximumPollTime;
		}

		@Override
		public void onListing(StoreListing listing) {
			listing.records().forEach((record) -> StoreWatcherTests.this.notifications.add("listed " + record.key()));
		}

		@Override
		public void onChange(StoreChange change) {
			StoreWatcherTests.this.notifications
				.add(((change.record() != null) ? "written " : "removed ") + change.key());
		}

		@Override
		public boolean confirmsState() {
			return StoreWatcherTests.this.confirmsState;
		}

		@Override
		public void onStoreRestored() {
			StoreWatcherTests.this.notifications.add("restored");
		}

		@Override
		public void onStoreLost() {
			StoreWatcherTests.this.notifications.add("lost");
		}

		@Override
		public void onStoreRecovered() {
			StoreWatcherTests.this.notifications.add("regained");
		}

	}

}
