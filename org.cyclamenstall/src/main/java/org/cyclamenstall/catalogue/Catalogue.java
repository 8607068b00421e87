package org.cyclamenstall.catalogue;

import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.jspecify.annotations.Nullable;

/**
 * An immutable snapshot of all catalogue records at one revision, indexed for request
 * routing. If several entries have the same model, path prefix or key hash, the first by
 * name is used. Thread-safe.
 */
public final class Catalogue {

	/** The empty catalogue, at revision 0. */
	public static final Catalogue EMPTY = new Catalogue(Map.of());

	private final long revision;

	private final Map<String, CatalogueRecord> records;

	private final Map<String, CatalogueEntry> accountsByKeyHash = new HashMap<>();

	private final Map<String, CatalogueEntry> entriesByModel = new HashMap<>();

	private final List<CatalogueEntry> servicesByPrefixLength;

	/**
	 * Creates a catalogue.
	 * @param records the records by name, tombstones included
	 */
	public Catalogue(Map<String, CatalogueRecord> records) {
		this.records = Map.copyOf(records);
		this.revision = records.values().stream().mapToLong(CatalogueRecord::revision).max().orElse(0);
		List<CatalogueEntry> entries = records.values()
			.stream()
			.map(CatalogueRecord::entry)
			.flatMap((entry) -> Optional.ofNullable(entry).stream())
			.sorted(Comparator.comparing(CatalogueEntry::name))
			.toList();
		entries.forEach(this::addToIndexes);
		this.servicesByPrefixLength = entries.stream()
			.filter((entry) -> entry.pathPrefix() != null)
			.sorted(Comparator.comparingInt(Catalogue::prefixLength).reversed())
			.toList();
	}

	/**
	 * Returns the highest revision of any record.
	 * @return the revision, or 0 if the catalogue is empty
	 */
	public long revision() {
		return this.revision;
	}

	/**
	 * Returns all records, tombstones included.
	 * @return the records in no particular order
	 */
	public Collection<CatalogueRecord> records() {
		return Collections.unmodifiableCollection(this.records.values());
	}

	/**
	 * Looks up the record of an entry, which may be a tombstone.
	 * @param name the name of the entry
	 * @return the record, or empty if the name was never used
	 */
	public Optional<CatalogueRecord> record(String name) {
		return Optional.ofNullable(this.records.get(name));
	}

	/**
	 * Looks up an entry that is not deleted.
	 * @param name the name of the entry
	 * @return the entry, or empty if it does not exist or was deleted
	 */
	public Optional<CatalogueEntry> entry(String name) {
		return record(name).map(CatalogueRecord::entry);
	}

	/**
	 * Finds the client account that an API key belongs to.
	 * @param keyHash the SHA-256 hash of the key, in lower-case hexadecimal
	 * @return the account entry, or empty if the key is unknown
	 */
	public Optional<CatalogueEntry> accountForKeyHash(String keyHash) {
		return Optional.ofNullable(this.accountsByKeyHash.get(keyHash));
	}

	/**
	 * Finds the model entry for a requested model name.
	 * @param model the model name of a request
	 * @return the model entry, or empty if no entry serves the model
	 */
	public Optional<CatalogueEntry> entryForModel(String model) {
		return Optional.ofNullable(this.entriesByModel.get(model));
	}

	/**
	 * Finds the service entry with the longest path prefix that matches a request. A
	 * prefix matches whole path segments only.
	 * @param path the path of a request
	 * @return the service entry, or empty if no prefix matches
	 */
	public Optional<CatalogueEntry> entryForPath(String path) {
		return this.servicesByPrefixLength.stream()
			.filter((entry) -> matchesPrefix(path, entry.pathPrefix()))
			.findFirst();
	}

	private void addToIndexes(CatalogueEntry entry) {
		if (entry.kind() == EntryKind.ACCOUNT && entry.keyHashes() != null) {
			entry.keyHashes().forEach((hash) -> this.accountsByKeyHash.putIfAbsent(hash, entry));
		}
		if (entry.kind() == EntryKind.MODEL && entry.model() != null) {
			this.entriesByModel.putIfAbsent(entry.model(), entry);
		}
	}

	private static boolean matchesPrefix(String path, @Nullable String prefix) {
		return prefix != null && path.startsWith(prefix)
				&& (path.length() == prefix.length() || prefix.endsWith("/") || path.charAt(prefix.length()) == '/');
	}

	private static int prefixLength(CatalogueEntry entry) {
		return (entry.pathPrefix() != null) ? entry.pathPrefix().length() : 0;
	}

}
