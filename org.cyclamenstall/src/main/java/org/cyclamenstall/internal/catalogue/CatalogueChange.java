package org.cyclamenstall.internal.catalogue;

import org.cyclamenstall.catalogue.CatalogueRecord;

/**
 * Holds one accepted edit in the head of the catalogue. Immutable.
 *
 * @param previousRevision the revision that the catalogue had before; a reader that holds
 * at least this revision misses nothing before the edit
 * @param record the record that the edit wrote
 */
public record CatalogueChange(long previousRevision, CatalogueRecord record) {

	long revision() {
		return this.record.revision();
	}

}
