package org.cyclamenstall.internal.catalogue;

import org.cyclamenstall.catalogue.CatalogueRecord;

/**
 * Summary of one edit in the history of an entry. Immutable.
 *
 * @param revision the catalogue revision of the edit
 * @param editId the identifier of the edit
 * @param operator the operator who made the edit
 * @param writtenAtMillis the time of the edit, in milliseconds since the epoch
 * @param deleted whether the edit deleted the entry
 */
public record EditSummary(long revision, String editId, String operator, long writtenAtMillis, boolean deleted) {

	static EditSummary of(CatalogueRecord record) {
		return new EditSummary(record.revision(), record.editId(), record.operator(), record.writtenAtMillis(),
				record.entry() == null);
	}

}
