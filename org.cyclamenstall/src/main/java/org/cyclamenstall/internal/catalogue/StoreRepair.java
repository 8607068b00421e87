package org.cyclamenstall.internal.catalogue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.catalogue.CatalogueRecord;
import org.cyclamenstall.catalogue.CatalogueReplica;
import org.cyclamenstall.store.WriteResult;
import org.jspecify.annotations.Nullable;

/**
 * Writes the records of the replica back to a store that was restored to an older state,
 * so that no accepted edit is lost. Every write is a compare-and-swap against the listing
 * and replaces only an earlier record, so that several daemons can repair the store
 * concurrently. Thread-safe; blocks.
 */
public final class StoreRepair {

	private static final Logger logger = LogManager.getLogger(StoreRepair.class);

	private final CatalogueStore catalogueStore;

	private final CatalogueReplica replica;

	private final UniformRandomProvider random;

	/**
	 * Creates a store repair.
	 * @param catalogueStore the catalogue keys in the store
	 * @param replica the replica of this daemon
	 * @param random the source of randomness for the order in which entries are written
	 */
	public StoreRepair(CatalogueStore catalogueStore, CatalogueReplica replica, UniformRandomProvider random) {
		this.random = random;
		this.catalogueStore = catalogueStore;
		this.replica = replica;
	}

	/**
	 * Returns the records of the replica that are missing from the store. Entries whose
	 * values cannot be parsed are not included, because a newer version of the daemon may
	 * have written them.
	 * @param listing the contents of the store
	 * @return the missing records, in order of revision
	 */
	public List<CatalogueRecord> missingRecords(CatalogueListing listing) {
		List<CatalogueRecord> missing = new ArrayList<>();
		for (CatalogueRecord record : this.replica.recordsAfter(0)) {
			@Nullable Versioned<StoredEntry> entry = listing.entries().get(record.name());
			boolean entryStored = entry != null && !RecordOrder.isNewer(record, entry.value().record());
			boolean inHead = listing.head()
				.value()
				.latestRecord(record.name())
				.filter((headRecord) -> !RecordOrder.isNewer(record, headRecord))
				.isPresent();
			if (!entryStored && !inHead && !listing.unreadable().contains(record.name())) {
				missing.add(record);
			}
		}
		return missing;
	}

	/**
	 * Writes the missing records to the store, entries first and the head last.
	 * @param listing the contents of the store
	 * @return {@code true} if the store is known to have all records of the replica
	 */
	public boolean writeBack(CatalogueListing listing) {
		List<CatalogueRecord> missing = missingRecords(listing);
		long replicaRevision = this.replica.summary().revision();
		CatalogueHead head = listing.head().value();
		if (missing.isEmpty() && head.revision() >= replicaRevision) {
			return true;
		}
		logger.warn("Store at catalogue revision {} lacks {} records up to revision {}; writing them back",
				head.revision(), missing.size(), replicaRevision);
		return this.catalogueStore.writeIncompleteEntries(head) && writeEntries(missing, listing)
				&& writeHead(listing, missing, replicaRevision);
	}

	private boolean writeEntries(List<CatalogueRecord> missing, CatalogueListing listing) {
		List<CatalogueRecord> shuffled = new ArrayList<>(missing);
		Collections.shuffle(shuffled, new Random(this.random.nextLong()));
		boolean allApplied = true;
		for (CatalogueRecord record : shuffled) {
			WriteResult result = writeEntry(record, listing.entries().get(record.name()));
			if (result == WriteResult.NOT_SENT) {
				return false;
			}
			allApplied &= result == WriteResult.APPLIED;
		}
		return allApplied;
	}

	private WriteResult writeEntry(CatalogueRecord record, @Nullable Versioned<StoredEntry> entry) {
		if (entry == null) {
			return this.catalogueStore.writeEntry(StoredEntry.withLatest(null, record), 0);
		}
		return this.catalogueStore.writeEntry(StoredEntry.withLatest(entry.value(), record), entry.version());
	}

	private boolean writeHead(CatalogueListing listing, List<CatalogueRecord> missing, long replicaRevision) {
		CatalogueHead head = listing.head().value();
		if (head.revision() >= replicaRevision) {
			return true;
		}
		List<CatalogueChange> changes = new ArrayList<>(head.changes());
		long previousRevision = head.revision();
		for (CatalogueRecord record : missing) {
			if (record.revision() > previousRevision) {
				changes.add(new CatalogueChange(previousRevision, record));
				previousRevision = record.revision();
			}
		}
		int firstKept = Math.max(0, changes.size() - CatalogueHead.MAXIMUM_CHANGES);
		CatalogueHead repairedHead = new CatalogueHead(replicaRevision, replicaRevision,
				changes.subList(firstKept, changes.size()));
		return this.catalogueStore.writeHead(repairedHead, listing.head().version()) == WriteResult.APPLIED;
	}

}
