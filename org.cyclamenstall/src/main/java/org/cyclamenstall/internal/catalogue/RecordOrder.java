package org.cyclamenstall.internal.catalogue;

import java.util.Comparator;

import org.cyclamenstall.catalogue.CatalogueRecord;

/**
 * Orders the records of one entry. Revisions are unique unless the store was restored to
 * an older state while daemons could not reach each other; the edit identifier then
 * breaks the tie, so that all daemons choose the same record.
 */
final class RecordOrder {

	static final Comparator<CatalogueRecord> BY_REVISION = Comparator.comparingLong(CatalogueRecord::revision)
		.thenComparing(CatalogueRecord::editId);

	private RecordOrder() {
	}

	static boolean isNewer(CatalogueRecord record, CatalogueRecord other) {
		return BY_REVISION.compare(record, other) > 0;
	}

	static CatalogueRecord newer(CatalogueRecord first, CatalogueRecord second) {
		return isNewer(second, first) ? second : first;
	}

}
