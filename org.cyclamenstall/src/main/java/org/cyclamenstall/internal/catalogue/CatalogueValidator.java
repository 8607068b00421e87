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
import org.cyclamenstall.internal.yaml.FieldError;
import org.jspecify.annotations.Nullable;

/**
 * Validates an entry beyond the constraints of its fields: on its own and against the
 * other entries of the catalogue. Stateless.
 */
public final class CatalogueValidator {

	private static final String CHAT_PATH = "/v1/chat/completions";

	private static final int FIRST_ERROR_STATUS = 400;

	private static final int LAST_ERROR_STATUS = 599;

	private CatalogueValidator() {
	}

	/**
	 * Validates an entry on its own.
	 * @param entry the entry
	 * @return the validation errors, empty if the entry is valid
	 */
	public static List<FieldError> validate(CatalogueEntry entry) {
		List<FieldError> errors = new ArrayList<>(EntryKindValidator.validate(entry));
		String prefix = entry.pathPrefix();
		if (prefix != null && (prefix.endsWith("/") || prefix.contains("//") || prefix.contains("/."))) {
			errors.add(new FieldError("pathPrefix",
					"must not end with a slash or contain an empty segment or one that starts with a dot"));
		}
		if (prefix != null && (CHAT_PATH.startsWith(prefix + "/") || prefix.startsWith(CHAT_PATH))) {
			errors.add(new FieldError("pathPrefix", "overlaps the path of model requests, " + CHAT_PATH));
		}
		if (entry.notExecutedStatuses() != null && !entry.notExecutedStatuses()
			.stream()
			.allMatch((status) -> status >= FIRST_ERROR_STATUS && status <= LAST_ERROR_STATUS)) {
			errors.add(new FieldError("notExecutedStatuses", "allowed: 400 to 599"));
		}
		if (entry.kind() == EntryKind.SERVICE && entry.effectiveLimits().tokensPerSecond() != null) {
			errors.add(new FieldError("limits.tokensPerSecond", "not allowed for kind service"));
		}
		return errors;
	}

	/**
	 * Validates an entry on its own and against the other entries of a catalogue.
	 * @param entry the entry
	 * @param catalogue the catalogue that the entry is added to
	 * @return the validation errors, empty if the entry is valid
	 */
	public static List<FieldError> validate(CatalogueEntry entry, Catalogue catalogue) {
		List<FieldError> errors = new ArrayList<>(validate(entry));
		List<CatalogueEntry> others = others(entry.name(), catalogue);
		checkUnique("model", CatalogueEntry::model, entry, others, errors);
		checkUnique("pathPrefix", CatalogueEntry::pathPrefix, entry, others, errors);
		List<String> hashes = (entry.keyHashes() != null) ? entry.keyHashes() : List.of();
		for (int index = 0; index < hashes.size(); index++) {
			String hash = hashes.get(index);
			for (CatalogueEntry other : others) {
				if (other.keyHashes() != null && other.keyHashes().contains(hash)) {
					errors.add(new FieldError("keyHashes[" + index + "]", "already used by entry " + other.name()));
				}
			}
		}
		return errors;
	}

	/**
	 * Returns warnings about an account that refers to missing entries or to other
	 * accounts.
	 * @param entry the entry
	 * @param catalogue the catalogue that the entry is added to
	 * @return the warnings, empty if there are none
	 */
	public static List<FieldError> warnings(CatalogueEntry entry, Catalogue catalogue) {
		if (entry.entries() == null) {
			return List.of();
		}
		return entry.entries().stream().sorted().flatMap((name) -> referenceWarning(name, catalogue)).toList();
	}

	/**
	 * Returns a warning for each account that refers to an entry about to be deleted.
	 * @param name the name of the entry
	 * @param catalogue the active catalogue
	 * @return the warnings, empty if there are none
	 */
	public static List<FieldError> deletionWarnings(String name, Catalogue catalogue) {
		return others(name, catalogue).stream()
			.filter((account) -> account.entries() != null && account.entries().contains(name))
			.map((account) -> new FieldError("entries", "account " + account.name() + " still refers to " + name))
			.toList();
	}

	private static Stream<FieldError> referenceWarning(String name, Catalogue catalogue) {
		@Nullable CatalogueEntry referencedEntry = catalogue.entry(name).orElse(null);
		if (referencedEntry == null) {
			return Stream.of(new FieldError("entries", "there is no entry named " + name));
		}
		if (referencedEntry.kind() == EntryKind.ACCOUNT) {
			return Stream.of(new FieldError("entries", name + " is an account and cannot be called"));
		}
		return Stream.empty();
	}

	private static void checkUnique(String field, Function<CatalogueEntry, @Nullable String> value,
			CatalogueEntry entry, List<CatalogueEntry> others, List<FieldError> errors) {
		String newValue = value.apply(entry);
		if (newValue == null) {
			return;
		}
		others.stream()
			.filter((other) -> newValue.equals(value.apply(other)))
			.forEach((other) -> errors.add(new FieldError(field, "already used by entry " + other.name())));
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
