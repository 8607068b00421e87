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
 * Writes the records of the replica back to a store that was put back to an older state,
 * so that no accepted edit is lost. Every write is a compare-and-swap against the listing
 * and replaces only an earlier record, so that several daemons may do this at once.
 * Thread-safe; blocks.
 */
public final class StoreRepair {

	private static final Logger logger = LogManager.getLogger(StoreRepair.class);

	private final StoredCatalogue stored;

	private final CatalogueReplica replica;

	private final UniformRandomProvider random;

	/**
	 * Creates a repair.
	 * @param stored the catalogue in the store
	 * @param replica the catalogue in force on this daemon
	 * @param random the source of the order in which entries are written
	 */
	public StoreRepair(StoredCatalogue stored, CatalogueReplica replica, UniformRandomProvider random) {
		this.random = random;
		this.stored = stored;
		this.replica = replica;
	}

	/**
	 * Returns the records of the replica that the store lacks. Values that cannot be read
	 * are left alone, because a newer version of the daemon may have written them.
	 * @param listing what the store holds
	 * @return the records in order of revision
	 */
	public List<CatalogueRecord> missing(CatalogueListing listing) {
		List<CatalogueRecord> missing = new ArrayList<>();
		for (CatalogueRecord record : this.replica.recordsAfter(0)) {
			@Nullable Versioned<StoredEntry> entry = listing.entries().get(record.name());
			boolean held = entry != null && !RecordOrder.isLater(record, entry.value().record());
			boolean announced = listing.head()
				.value()
				.latestOf(record.name())
				.filter((latest) -> !RecordOrder.isLater(record, latest))
				.isPresent();
			if (!held && !announced && !listing.unreadable().contains(record.name())) {
				missing.add(record);
			}
		}
		return missing;
	}

	/**
	 * Writes back what the store lacks, entries first and the head last.
	 * @param listing what the store holds
	 * @return {@code true} if the store is known to lack nothing
	 */
	public boolean run(CatalogueListing listing) {
		List<CatalogueRecord> missing = missing(listing);
		long held = this.replica.summary().revision();
		CatalogueHead head = listing.head().value();
		if (missing.isEmpty() && head.revision() >= held) {
			return true;
		}
		logger.warn("The store is at revision {} and lacks {} records of revision {}: writing them back",
				head.revision(), missing.size(), held);
		return this.stored.completeAll(head) && writeEntries(missing, listing) && writeHead(listing, missing, held);
	}

	private boolean writeEntries(List<CatalogueRecord> missing, CatalogueListing listing) {
		List<CatalogueRecord> shuffled = new ArrayList<>(missing);
		Collections.shuffle(shuffled, new Random(this.random.nextLong()));
		boolean complete = true;
		for (CatalogueRecord record : shuffled) {
			WriteResult result = writeEntry(record, listing.entries().get(record.name()));
			if (result == WriteResult.NOT_SENT) {
				return false;
			}
			complete &= result == WriteResult.APPLIED;
		}
		return complete;
	}

	private WriteResult writeEntry(CatalogueRecord record, @Nullable Versioned<StoredEntry> entry) {
		if (entry == null) {
			return this.stored.writeEntry(StoredEntry.next(null, record), 0);
		}
		return this.stored.writeEntry(StoredEntry.next(entry.value(), record), entry.version());
	}

	private boolean writeHead(CatalogueListing listing, List<CatalogueRecord> missing, long held) {
		CatalogueHead head = listing.head().value();
		if (head.revision() >= held) {
			return true;
		}
		List<CatalogueChange> changes = new ArrayList<>(head.changes());
		long previous = head.revision();
		for (CatalogueRecord record : missing) {
			if (record.revision() > previous) {
				changes.add(new CatalogueChange(previous, record));
				previous = record.revision();
			}
		}
		int first = Math.max(0, changes.size() - CatalogueHead.MAXIMUM_CHANGES);
		CatalogueHead repaired = new CatalogueHead(held, held, changes.subList(first, changes.size()));
		return this.stored.writeHead(repaired, listing.head().version()) == WriteResult.APPLIED;
	}

}
