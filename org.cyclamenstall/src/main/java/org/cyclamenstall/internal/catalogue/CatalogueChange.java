package org.cyclamenstall.internal.catalogue;

import org.cyclamenstall.catalogue.CatalogueRecord;

/**
 * An accepted edit, as listed in the catalogue head. Immutable.
 *
 * @param previousRevision the catalogue revision before the edit; a reader at this
 * revision or a later one has all earlier records
 * @param record the record written by the edit
 */
public record CatalogueChange(long previousRevision, CatalogueRecord record) {

	long revision() {
		return this.record.revision();
	}

}
