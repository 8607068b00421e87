package org.cyclamenstall.internal.catalogue;

import java.util.List;

import org.cyclamenstall.catalogue.CatalogueRecord;
import org.cyclamenstall.internal.yaml.FieldError;
import org.jspecify.annotations.Nullable;

/**
 * The outcome of a catalogue edit. Immutable.
 *
 * @param status the status of the edit
 * @param record the record written by the edit, or the conflicting record after a
 * conflict; {@code null} if there is none
 * @param errors the validation errors of an invalid entry
 * @param warnings the warnings about an accepted edit
 * @param detail the reason why the edit was not accepted, otherwise empty
 */
public record CatalogueEditOutcome(CatalogueEditStatus status, @Nullable CatalogueRecord record,
		List<FieldError> errors, List<FieldError> warnings, String detail) {

	static CatalogueEditOutcome accepted(CatalogueRecord record, List<FieldError> warnings) {
		return new CatalogueEditOutcome(CatalogueEditStatus.ACCEPTED, record, List.of(), warnings, "");
	}

	static CatalogueEditOutcome conflict(@Nullable CatalogueRecord conflictingRecord, String detail) {
		return new CatalogueEditOutcome(CatalogueEditStatus.CONFLICT, conflictingRecord, List.of(), List.of(), detail);
	}

	static CatalogueEditOutcome invalid(List<FieldError> errors) {
		return new CatalogueEditOutcome(CatalogueEditStatus.INVALID, null, errors, List.of(), "the entry is invalid");
	}

	static CatalogueEditOutcome rejected(CatalogueEditStatus status, String detail) {
		return new CatalogueEditOutcome(status, null, List.of(), List.of(), detail);
	}

}
