package org.cyclamenstall.internal.catalogue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.cyclamenstall.catalogue.CatalogueEntry;
import org.cyclamenstall.catalogue.EntryKind;
import org.cyclamenstall.internal.yaml.FieldError;
import org.jspecify.annotations.Nullable;

/**
 * Checks that an entry has all fields that its kind requires and none that its kind does
 * not allow. Stateless.
 */
final class EntryKindValidator {

	private static final Map<EntryKind, Set<String>> REQUIRED_FIELDS = Map.of(EntryKind.MODEL,
			Set.of("upstreams", "model"), EntryKind.SERVICE, Set.of("upstreams", "pathPrefix"), EntryKind.ACCOUNT,
			Set.of("keyHashes", "entries"));

	private static final Map<EntryKind, Set<String>> OPTIONAL_FIELDS = Map.of(EntryKind.MODEL,
			Set.of("firstTokenSeconds", "tokenGapSeconds", "resumable"), EntryKind.SERVICE,
			Set.of("idempotentMethods", "idempotencyKey", "notExecutedStatuses"), EntryKind.ACCOUNT, Set.of());

	private EntryKindValidator() {
	}

	static List<FieldError> validate(CatalogueEntry entry) {
		Set<String> required = REQUIRED_FIELDS.getOrDefault(entry.kind(), Set.of());
		Set<String> optional = OPTIONAL_FIELDS.getOrDefault(entry.kind(), Set.of());
		List<FieldError> errors = new ArrayList<>();
		fieldValues(entry).forEach((field, value) -> {
			if (value == null && required.contains(field)) {
				errors.add(new FieldError(field, "required for kind " + entry.kind().label()));
			}
			if (value != null && !required.contains(field) && !optional.contains(field)) {
				errors.add(new FieldError(field, "not allowed for kind " + entry.kind().label()));
			}
		});
		return errors;
	}

	private static Map<String, @Nullable Object> fieldValues(CatalogueEntry entry) {
		Map<String, @Nullable Object> fieldValues = new LinkedHashMap<>();
		fieldValues.put("upstreams", entry.upstreams());
		fieldValues.put("model", entry.model());
		fieldValues.put("firstTokenSeconds", entry.firstTokenSeconds());
		fieldValues.put("tokenGapSeconds", entry.tokenGapSeconds());
		fieldValues.put("resumable", entry.resumable());
		fieldValues.put("pathPrefix", entry.pathPrefix());
		fieldValues.put("idempotentMethods", entry.idempotentMethods());
		fieldValues.put("idempotencyKey", entry.idempotencyKey());
		fieldValues.put("notExecutedStatuses", entry.notExecutedStatuses());
		fieldValues.put("keyHashes", entry.keyHashes());
		fieldValues.put("entries", entry.entries());
		return fieldValues;
	}

}
