package org.cyclamenstall.internal.catalogue;

import java.util.List;

import org.cyclamenstall.catalogue.CatalogueRecord;
import org.cyclamenstall.internal.yaml.FieldFault;
import org.jspecify.annotations.Nullable;

/**
 * The outcome of a catalogue edit. Immutable.
 *
 * @param result the status of the edit
 * @param record the record written by the edit, or the conflicting record after a
 * conflict; {@code null} if there is none
 * @param faults the validation errors of an invalid entry
 * @param warnings the warnings about an accepted edit
 * @param detail the reason why the edit was not accepted, otherwise empty
 */
public record CatalogueEditAnswer(CatalogueEditResult result, @Nullable CatalogueRecord record, List<FieldFault> faults,
		List<FieldFault> warnings, String detail) {

	static CatalogueEditAnswer accepted(CatalogueRecord record, List<FieldFault> warnings) {
		return new CatalogueEditAnswer(CatalogueEditResult.ACCEPTED, record, List.of(), warnings, "");
	}

	static CatalogueEditAnswer conflict(@Nullable CatalogueRecord winner, String detail) {
		return new CatalogueEditAnswer(CatalogueEditResult.CONFLICT, winner, List.of(), List.of(), detail);
	}

	static CatalogueEditAnswer invalid(List<FieldFault> faults) {
		return new CatalogueEditAnswer(CatalogueEditResult.INVALID, null, faults, List.of(), "the entry is invalid");
	}

	static CatalogueEditAnswer rejected(CatalogueEditResult result, String detail) {
		return new CatalogueEditAnswer(result, null, List.of(), List.of(), detail);
	}

}
