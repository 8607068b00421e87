package org.cyclamenstall.internal.catalogue;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Function;
import java.util.stream.Stream;

import org.cyclamenstall.catalogue.Catalogue;
import org.cyclamenstall.catalogue.CatalogueEntry;
import org.cyclamenstall.catalogue.CatalogueRecord;
import org.cyclamenstall.catalogue.EntryKind;
import org.cyclamenstall.internal.yaml.FieldFault;
import org.jspecify.annotations.Nullable;

/**
 * Checks an entry beyond the constraints of its fields: by itself, and against the other
 * entries of the catalogue. Has no state.
 */
public final class CatalogueChecks {

	private static final String CHAT_PATH = "/v1/chat/completions";

	private static final int FIRST_ERROR_STATUS = 400;

	private static final int LAST_ERROR_STATUS = 599;

	private CatalogueChecks() {
	}

	/**
	 * Checks an entry by itself.
	 * @param entry the entry
	 * @return the faults, empty if there are none
	 */
	public static List<FieldFault> faults(CatalogueEntry entry) {
		List<FieldFault> faults = new ArrayList<>(KindFields.check(entry));
		String prefix = entry.pathPrefix();
		if (prefix != null && (prefix.endsWith("/") || prefix.contains("//") || prefix.contains("/."))) {
			faults.add(new FieldFault("pathPrefix", "must not end with a slash nor hold an empty or dotted segment"));
		}
		if (prefix != null && (CHAT_PATH.startsWith(prefix + "/") || prefix.startsWith(CHAT_PATH))) {
			faults.add(new FieldFault("pathPrefix", "overlaps the path of model requests, " + CHAT_PATH));
		}
		if (entry.notExecutedStatuses() != null && !entry.notExecutedStatuses()
			.stream()
			.allMatch((status) -> status >= FIRST_ERROR_STATUS && status <= LAST_ERROR_STATUS)) {
			faults.add(new FieldFault("notExecutedStatuses", "allowed: 400 to 599"));
		}
		if (entry.kind() == EntryKind.SERVICE && entry.effectiveLimits().tokensPerSecond() != null) {
			faults.add(new FieldFault("limits.tokensPerSecond", "not allowed for kind service"));
		}
		return faults;
	}

	/**
	 * Checks an entry by itself and against the other entries.
	 * @param entry the entry
	 * @param catalogue the catalogue that the entry is to join
	 * @return the faults, empty if there are none
	 */
	public static List<FieldFault> faults(CatalogueEntry entry, Catalogue catalogue) {
		List<FieldFault> faults = new ArrayList<>(faults(entry));
		List<CatalogueEntry> others = others(entry.name(), catalogue);
		unique("model", CatalogueEntry::model, entry, others, faults);
		unique("pathPrefix", CatalogueEntry::pathPrefix, entry, others, faults);
		List<String> hashes = (entry.keyHashes() != null) ? entry.keyHashes() : List.of();
		for (int index = 0; index < hashes.size(); index++) {
			String hash = hashes.get(index);
			for (CatalogueEntry other : others) {
				if (other.keyHashes() != null && other.keyHashes().contains(hash)) {
					faults.add(new FieldFault("keyHashes[" + index + "]", "belongs to entry " + other.name()));
				}
			}
		}
		return faults;
	}

	/**
	 * Finds what is allowed but probably not meant.
	 * @param entry the entry
	 * @param catalogue the catalogue that the entry is to join
	 * @return the warnings, empty if there are none
	 */
	public static List<FieldFault> warnings(CatalogueEntry entry, Catalogue catalogue) {
		if (entry.entries() == null) {
			return List.of();
		}
		return entry.entries().stream().sorted().flatMap((name) -> referenceWarning(name, catalogue)).toList();
	}

	/**
	 * Finds the accounts that refer to an entry that is to be deleted.
	 * @param name the name of the entry
	 * @param catalogue the catalogue in force
	 * @return the warnings, empty if there are none
	 */
	public static List<FieldFault> deletionWarnings(String name, Catalogue catalogue) {
		return others(name, catalogue).stream()
			.filter((account) -> account.entries() != null && account.entries().contains(name))
			.map((account) -> new FieldFault("entries", "account " + account.name() + " still refers to " + name))
			.toList();
	}

	private static Stream<FieldFault> referenceWarning(String name, Catalogue catalogue) {
		@Nullable CatalogueEntry referred = catalogue.entry(name).orElse(null);
		if (referred == null) {
			return Stream.of(new FieldFault("entries", "no entry is named " + name));
		}
		if (referred.kind() == EntryKind.ACCOUNT) {
			return Stream.of(new FieldFault("entries", name + " is an account and cannot be called"));
		}
		return Stream.empty();
	}

	private static void unique(String field, Function<CatalogueEntry, @Nullable String> value, CatalogueEntry entry,
			List<CatalogueEntry> others, List<FieldFault> faults) {
		String wanted = value.apply(entry);
		if (wanted == null) {
			return;
		}
		others.stream()
			.filter((other) -> wanted.equals(value.apply(other)))
			.forEach((other) -> faults.add(new FieldFault(field, "already used by entry " + other.name())));
	}

	private static List<CatalogueEntry> others(String name, Catalogue catalogue) {
		return catalogue.records()
			.stream()
			.map(CatalogueRecord::entry)
			.filter(Objects::nonNull)
			.filter((other) -> !other.name().equals(name))
			.toList();
	}

}
