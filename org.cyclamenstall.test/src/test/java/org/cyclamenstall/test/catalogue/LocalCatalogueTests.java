package org.cyclamenstall.test.catalogue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.cyclamenstall.catalogue.Catalogue;
import org.cyclamenstall.catalogue.CatalogueRecord;
import org.cyclamenstall.internal.catalogue.LocalCatalogue;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Tests of {@link LocalCatalogue}.
 */
class LocalCatalogueTests {

	private final LocalCatalogue replica = new LocalCatalogue(new PrometheusRegistry());

	private static CatalogueRecord record(String name, long revision, String editId) {
		return new CatalogueRecord(name, revision, editId, "ana", 0, CatalogueHost.service(name, editId));
	}

	@Nested
	class WhenAnOlderRecordIsOffered {

		@Test
		void theNewerRecordIsKept() {
			LocalCatalogueTests.this.replica.offer(List.of(record("orders", 5, "new")), "store");
			int applied = LocalCatalogueTests.this.replica
				.offer(List.of(record("orders", 4, "old"), record("bookings", 3, "b")), "peer");
			assertThat(applied, is(1));
			assertThat(LocalCatalogueTests.this.replica.current().entry("orders").orElseThrow().owner(), is("new"));
			assertThat(LocalCatalogueTests.this.replica.summary().revision(), is(5L));
		}

		@Test
		void anOlderRecordDoesNotRestoreADeletedEntry() {
			LocalCatalogueTests.this.replica.offer(List.of(new CatalogueRecord("orders", 5, "e", "ana", 0, null)), "s");
			LocalCatalogueTests.this.replica.offer(List.of(record("orders", 4, "old")), "peer");
			assertThat(LocalCatalogueTests.this.replica.current().entry("orders").isPresent(), is(false));
		}

	}

	@Nested
	class WhenTwoRecordsShareARevision {

		@Test
		void allReplicasChooseTheSameRecord() {
			LocalCatalogue otherReplica = new LocalCatalogue(new PrometheusRegistry());
			LocalCatalogueTests.this.replica.offer(List.of(record("orders", 5, "a")), "store");
			LocalCatalogueTests.this.replica.offer(List.of(record("orders", 5, "b")), "peer");
			otherReplica.offer(List.of(record("orders", 5, "b"), record("orders", 5, "a")), "peer");
			assertThat(otherReplica.summary(), equalTo(LocalCatalogueTests.this.replica.summary()));
			assertThat(otherReplica.current().entry("orders").orElseThrow().owner(), is("b"));
		}

	}

	@Nested
	class WhenRecordsAreOfferedInAnyOrder {

		@Test
		void theDigestDoesNotDependOnTheOrder() {
			List<CatalogueRecord> records = new ArrayList<>();
			for (int number = 1; number <= 40; number++) {
				records.add(record("service-" + (number % 7), number, "edit-" + number));
			}
			LocalCatalogueTests.this.replica.offer(records, "store");
			Collections.shuffle(records, new Random(1));
			LocalCatalogue otherReplica = new LocalCatalogue(new PrometheusRegistry());
			records.forEach((record) -> otherReplica.offer(List.of(record), "peer"));
			assertThat(otherReplica.summary(), equalTo(LocalCatalogueTests.this.replica.summary()));
			otherReplica.offer(List.of(record("late", 41, "edit-41")), "peer");
			assertThat(otherReplica.summary().digest(), not(LocalCatalogueTests.this.replica.summary().digest()));
		}

		@Test
		void listenersReceiveRevisionsInOrder() throws InterruptedException {
			List<Long> seenRevisions = Collections.synchronizedList(new ArrayList<>());
			LocalCatalogueTests.this.replica
				.addListener((Catalogue catalogue) -> seenRevisions.add(catalogue.revision()));
			CountDownLatch start = new CountDownLatch(1);
			List<Thread> threads = new ArrayList<>();
			for (int number = 1; number <= 20; number++) {
				CatalogueRecord record = record("service-" + number, number, "edit");
				Thread thread = new Thread(() -> {
					awaitLatch(start);
					LocalCatalogueTests.this.replica.offer(List.of(record), "peer");
				});
				threads.add(thread);
				thread.start();
			}
			start.countDown();
			for (Thread thread : threads) {
				thread.join();
			}
			List<Long> sortedRevisions = new ArrayList<>(seenRevisions);
			Collections.sort(sortedRevisions);
			assertThat(seenRevisions, equalTo(sortedRevisions));
			assertThat(LocalCatalogueTests.this.replica.recordsAfter(0).size(), is(20));
		}

		private void awaitLatch(CountDownLatch latch) {
			try {
				latch.await();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

	}

}
