package org.cyclamenstall.internal.catalogue;

import java.util.List;

import org.cyclamenstall.catalogue.CatalogueRecord;
import org.cyclamenstall.internal.yaml.FieldFault;
import org.jspecify.annotations.Nullable;

/**
 * Holds the result of an edit. Immutable.
 *
 * @param result what became of the edit
 * @param record the record that the edit wrote, or after a conflict the one that came
 * first; {@code null} if there is none
 * @param faults the faults of an invalid entry
 * @param warnings what is allowed but probably not meant
 * @param detail the reason of a refusal, empty after acceptance
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
		return new CatalogueEditAnswer(CatalogueEditResult.INVALID, null, faults, List.of(),
				"the entry fails its checks");
	}

	static CatalogueEditAnswer refused(CatalogueEditResult result, String detail) {
		return new CatalogueEditAnswer(result, null, List.of(), List.of(), detail);
	}

}
