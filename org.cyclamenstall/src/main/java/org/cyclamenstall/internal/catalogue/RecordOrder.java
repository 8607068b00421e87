package org.cyclamenstall.internal.catalogue;

import java.util.Comparator;

import org.cyclamenstall.catalogue.CatalogueRecord;

/**
 * Orders the records of one entry. Revisions are unique unless the store was put back to
 * an older state while daemons were cut off from each other; the edit identifier then
 * decides, so that all daemons choose the same record.
 */
final class RecordOrder {

	static final Comparator<CatalogueRecord> BY_AGE = Comparator.comparingLong(CatalogueRecord::revision)
		.thenComparing(CatalogueRecord::editId);

	private RecordOrder() {
	}

	static boolean isLater(CatalogueRecord record, CatalogueRecord other) {
		return BY_AGE.compare(record, other) > 0;
	}

	static CatalogueRecord later(CatalogueRecord first, CatalogueRecord second) {
		return isLater(second, first) ? second : first;
	}

}
