package org.cyclamenstall.internal.catalogue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.cyclamenstall.catalogue.CatalogueEntry;
import org.cyclamenstall.catalogue.EntryKind;
import org.cyclamenstall.internal.yaml.FieldFault;
import org.jspecify.annotations.Nullable;

/**
 * Checks which fields an entry of each kind has. Has no state.
 */
final class KindFields {

	private static final Map<EntryKind, Set<String>> REQUIRED = Map.of(EntryKind.MODEL, Set.of("upstreams", "model"),
			EntryKind.SERVICE, Set.of("upstreams", "pathPrefix"), EntryKind.ACCOUNT, Set.of("keyHashes", "entries"));

	private static final Map<EntryKind, Set<String>> OPTIONAL = Map.of(EntryKind.MODEL,
			Set.of("firstTokenSeconds", "tokenGapSeconds", "resumable"), EntryKind.SERVICE,
			Set.of("idempotentMethods", "idempotencyKey", "notExecutedStatuses"), EntryKind.ACCOUNT, Set.of());

	private KindFields() {
	}

	static List<FieldFault> check(CatalogueEntry entry) {
		Set<String> required = REQUIRED.getOrDefault(entry.kind(), Set.of());
		Set<String> optional = OPTIONAL.getOrDefault(entry.kind(), Set.of());
		List<FieldFault> faults = new ArrayList<>();
		fields(entry).forEach((field, value) -> {
			if (value == null && required.contains(field)) {
				faults.add(new FieldFault(field, "required for kind " + entry.kind().label()));
			}
			if (value != null && !required.contains(field) && !optional.contains(field)) {
				faults.add(new FieldFault(field, "not allowed for kind " + entry.kind().label()));
			}
		});
		return faults;
	}

	private static Map<String, @Nullable Object> fields(CatalogueEntry entry) {
		Map<String, @Nullable Object> fields = new LinkedHashMap<>();
		fields.put("upstreams", entry.upstreams());
		fields.put("model", entry.model());
		fields.put("firstTokenSeconds", entry.firstTokenSeconds());
		fields.put("tokenGapSeconds", entry.tokenGapSeconds());
		fields.put("resumable", entry.resumable());
		fields.put("pathPrefix", entry.pathPrefix());
		fields.put("idempotentMethods", entry.idempotentMethods());
		fields.put("idempotencyKey", entry.idempotencyKey());
		fields.put("notExecutedStatuses", entry.notExecutedStatuses());
		fields.put("keyHashes", entry.keyHashes());
		fields.put("entries", entry.entries());
		return fields;
	}

}
