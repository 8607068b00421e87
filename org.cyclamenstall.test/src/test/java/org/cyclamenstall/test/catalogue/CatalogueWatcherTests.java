package org.cyclamenstall.test.catalogue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.BooleanSupplier;

import org.cyclamenstall.catalogue.CatalogueRecord;
import org.cyclamenstall.internal.catalogue.CatalogueHead;
import org.cyclamenstall.internal.catalogue.CatalogueWatcher;
import org.cyclamenstall.junit.InMemoryConfigurationStore;
import org.cyclamenstall.junit.ManualClock;
import org.cyclamenstall.junit.StoreFault;
import org.cyclamenstall.junit.StoreOperation;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.peers.MemberState;
import org.cyclamenstall.standin.site.ConditionWaiter;
import org.cyclamenstall.store.StorePriority;
import org.cyclamenstall.store.StoreRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of {@link CatalogueWatcher} with store faults and a restored store.
 */
class CatalogueWatcherTests {

	private final InMemoryConfigurationStore store = new InMemoryConfigurationStore();

	private final CatalogueHost editingHost = new CatalogueHost(this.store);

	private final CatalogueHost host = new CatalogueHost(this.store);

	private final CatalogueWatcher watcher = this.host.createWatcher(MonotonicClock.SYSTEM);

	@AfterEach
	void close() {
		this.watcher.close();
	}

	private void edit(String name, String owner) {
		this.editingHost.put("edit-" + name + "-" + owner, CatalogueHost.service(name, owner));
	}

	private void awaitOwner(String name, String owner) {
		await("entry " + name + " is not owned by " + owner, () -> this.host.owner(name).equals(owner));
	}

	private static void await(String description, BooleanSupplier condition) {
		ConditionWaiter.await(condition, () -> description);
	}

	@Nested
	class WhenTheStoreWorks {

		@Test
		void editsAreAppliedWithoutFullReads() {
			edit("orders", "ion");
			CatalogueWatcherTests.this.watcher.start();
			awaitOwner("orders", "ion");
			long listingsBefore = countListings();
			for (int number = 0; number < 5; number++) {
				edit("orders", "maria" + number);
			}
			awaitOwner("orders", "maria4");
			assertThat(countListings(), is(listingsBefore));
		}

		@Test
		void aGapInTheHeadIsFilledByAFullRead() {
			CatalogueWatcherTests.this.watcher.start();
			await("the replica is not loaded", CatalogueWatcherTests.this.host.replica::isLoaded);
			CatalogueWatcherTests.this.store.setFault(StoreOperation.WAIT, StoreFault.UNAVAILABLE);
			for (int number = 0; number < CatalogueHead.MAXIMUM_CHANGES + 4; number++) {
				edit("service-" + number, "ion");
			}
			CatalogueWatcherTests.this.store.setFault(StoreOperation.WAIT, StoreFault.NONE);
			awaitOwner("service-" + (CatalogueHead.MAXIMUM_CHANGES + 3), "ion");
			assertThat(CatalogueWatcherTests.this.host.owner("service-0"), is("ion"));
		}

		@Test
		void anEditWhoseEntryKeyWasNotWrittenIsApplied() {
			edit("orders", "ion");
			CatalogueWatcherTests.this.store.setFault(StoreOperation.CREATE, StoreFault.UNAVAILABLE);
			edit("bookings", "maria");
			CatalogueWatcherTests.this.watcher.start();
			awaitOwner("bookings", "maria");
		}

		private long countListings() {
			return CatalogueWatcherTests.this.store.calls()
				.stream()
				.filter((call) -> call.operation() == StoreOperation.LIST)
				.count();
		}

	}

	@Nested
	class WhenTheStoreFails {

		@Test
		void theCatalogueIsLoadedAfterAnOutage() {
			edit("orders", "ion");
			CatalogueWatcherTests.this.store.setFault(StoreFault.UNAVAILABLE);
			CatalogueWatcherTests.this.watcher.start();
			await("too few failed calls", () -> CatalogueWatcherTests.this.store.calls().size() > 6);
			assertThat(CatalogueWatcherTests.this.host.replica.isLoaded(), is(false));
			CatalogueWatcherTests.this.store.setFault(StoreFault.NONE);
			awaitOwner("orders", "ion");
		}

		@Test
		void anUnreadableEntryDoesNotAffectOthers() {
			edit("orders", "ion");
			for (int number = 0; number < CatalogueHead.MAXIMUM_CHANGES + 1; number++) {
				edit("bookings", "maria" + number);
			}
			String key = CatalogueHost.PREFIX + "/catalogue/entries/orders";
			StoreRecord record = CatalogueWatcherTests.this.store.get(key, StorePriority.CATALOGUE).orElseThrow();
			CatalogueWatcherTests.this.store.compareAndSwap(key, "{".getBytes(StandardCharsets.UTF_8), record.version(),
					StorePriority.CATALOGUE);
			CatalogueWatcherTests.this.watcher.start();
			awaitOwner("bookings", "maria" + CatalogueHead.MAXIMUM_CHANGES);
			assertThat(CatalogueWatcherTests.this.host.owner("orders"), is("none"));
		}

		@Test
		void newerRecordsAreWrittenToARestoredStore() {
			edit("orders", "ion");
			List<StoreRecord> olderSnapshot = CatalogueWatcherTests.this.store.snapshot();
			edit("orders", "maria");
			edit("bookings", "maria");
			CatalogueWatcherTests.this.watcher.start();
			awaitOwner("bookings", "maria");
			CatalogueWatcherTests.this.store.restore(olderSnapshot);
			CatalogueHost reader = new CatalogueHost(CatalogueWatcherTests.this.store);
			await("the head is not repaired", () -> reader.catalogueStore.readHead().value().revision() == 3);
			assertThat(CatalogueWatcherTests.this.host.owner("orders"), is("maria"));
			assertThat(reader.catalogueStore.readEntry("orders").orElseThrow().value().record().revision(), is(2L));
			assertThat(reader.catalogueStore.readEntry("bookings").orElseThrow().value().record().revision(), is(3L));
		}

		@Test
		void allRecordsAreWrittenToAnEmptiedStore() {
			for (int number = 0; number < 30; number++) {
				edit("service-" + number, "ion");
			}
			CatalogueWatcherTests.this.watcher.start();
			awaitOwner("service-29", "ion");
			CatalogueWatcherTests.this.store.restore(List.of());
			await("the head is not repaired",
					() -> CatalogueWatcherTests.this.editingHost.catalogueStore.readHead().value().revision() == 30);
			List<CatalogueRecord> replicaRecords = CatalogueWatcherTests.this.host.replica.recordsAfter(0);
			for (CatalogueRecord record : replicaRecords) {
				assertThat(CatalogueWatcherTests.this.editingHost.catalogueStore.readEntry(record.name())
					.orElseThrow()
					.value()
					.record(), is(record));
			}
		}

	}

	@Nested
	class WhenAHostStartsWithARestoredStore {

		@Test
		void itWaitsForThePeerThatIsAhead() {
			edit("orders", "ion");
			List<StoreRecord> olderSnapshot = CatalogueWatcherTests.this.store.snapshot();
			edit("orders", "maria");
			CatalogueWatcherTests.this.store.restore(olderSnapshot);
			CatalogueHost lateHost = new CatalogueHost(CatalogueWatcherTests.this.store);
			lateHost.membership.put("host-2", MemberState.ALIVE, 2);
			List<String> owners = Collections.synchronizedList(new ArrayList<>());
			lateHost.replica.addListener((catalogue) -> owners.add(catalogue.entry("orders").orElseThrow().owner()));
			try (CatalogueWatcher lateWatcher = lateHost.createWatcher(new ManualClock())) {
				lateWatcher.start();
				assertThat(ConditionWaiter.holdsWithin(Duration.ofMillis(500), lateHost.replica::isLoaded), is(false));
				lateHost.replica.offer(CatalogueWatcherTests.this.editingHost.replica.recordsAfter(0), "peer");
				await("the head is not repaired",
						() -> CatalogueWatcherTests.this.editingHost.catalogueStore.readHead().value().revision() == 2);
			}
			assertThat(owners, is(List.of("maria")));
		}

		@Test
		void itLoadsTheStoreWhenNoPeerIsAlive() {
			edit("orders", "ion");
			CatalogueWatcherTests.this.host.membership.put("host-2", MemberState.SUSPECT, 0);
			CatalogueWatcherTests.this.watcher.start();
			awaitOwner("orders", "ion");
		}

	}

	@Nested
	class WhenTheDeploymentIsLarge {

		@Test
		void aDaemonThatIsNotSelectedMakesNoBlockingQueries() {
			for (int number = 0; number < 60; number++) {
				CatalogueWatcherTests.this.host.membership.put("host-" + number, MemberState.ALIVE, 0);
			}
			CatalogueWatcherTests.this.watcher.start();
			await("the replica is not loaded", CatalogueWatcherTests.this.host.replica::isLoaded);
			await("the head was not read", () -> countCalls(StoreOperation.GET) > 0);
			assertThat(countCalls(StoreOperation.WAIT), is(0L));
			assertThat(countCalls(StoreOperation.GET), is(lessThanOrEqualTo(2L)));
		}

		private long countCalls(StoreOperation operation) {
			return CatalogueWatcherTests.this.store.calls()
				.stream()
				.filter((call) -> call.operation() == operation)
				.count();
		}

	}

}
