package org.cyclamenstall.internal.catalogue;

import org.cyclamenstall.catalogue.CatalogueRecord;

/**
 * Names one edit of an entry. Immutable.
 *
 * @param revision the catalogue revision of the edit
 * @param editId the identifier of the edit
 * @param operator who made it
 * @param writtenAtMillis the time of the edit, in milliseconds since the epoch
 * @param deleted whether it deleted the entry
 */
public record EditSummary(long revision, String editId, String operator, long writtenAtMillis, boolean deleted) {

	static EditSummary of(CatalogueRecord record) {
		return new EditSummary(record.revision(), record.editId(), record.operator(), record.writtenAtMillis(),
				record.entry() == null);
	}

}
