package org.cyclamenstall.internal.catalogue;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.catalogue.CatalogueRecord;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.store.ConfigurationStore;
import org.cyclamenstall.store.StoreListing;
import org.cyclamenstall.store.StorePriority;
import org.cyclamenstall.store.StoreRecord;
import org.cyclamenstall.store.WriteResult;
import org.jspecify.annotations.Nullable;

/**
 * Reads and writes the catalogue keys in the store. Unknown JSON fields are ignored, so
 * that daemons of two versions can run side by side. Thread-safe; blocks.
 */
public final class CatalogueStore {

	private static final Logger logger = LogManager.getLogger(CatalogueStore.class);

	private static final int MAXIMUM_HEAD_BYTES = 262_144;

	private final ObjectMapper mapper = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.build();

	private final ConfigurationStore store;

	private final String headKey;

	private final String entriesPrefix;

	private final String cataloguePrefix;

	/**
	 * Creates a catalogue store.
	 * @param store the store
	 * @param prefix the prefix of all keys of the deployment
	 */
	public CatalogueStore(ConfigurationStore store, String prefix) {
		this.store = store;
		this.cataloguePrefix = prefix + "/catalogue/";
		this.headKey = this.cataloguePrefix + "head";
		this.entriesPrefix = this.cataloguePrefix + "entries/";
	}

	/**
	 * Reads the head.
	 * @return the head, empty at version 0 if it was never written
	 */
	public Versioned<CatalogueHead> readHead() {
		Optional<StoreRecord> record = this.store.get(this.headKey, StorePriority.CATALOGUE);
		return record.map(this::decodeHead).orElseGet(() -> new Versioned<>(CatalogueHead.EMPTY, 0));
	}

	/**
	 * Reads an entry.
	 * @param name the name of the entry
	 * @return the entry, or empty if its key was never written
	 */
	public Optional<Versioned<StoredEntry>> readEntry(String name) {
		return this.store.get(this.entriesPrefix + name, StorePriority.CATALOGUE).map(this::decodeEntry);
	}

	/**
	 * Reads the head and all entries in one call.
	 * @return the listing
	 */
	public CatalogueListing readAll() {
		StoreListing listing = this.store.list(this.cataloguePrefix, StorePriority.CATALOGUE);
		Versioned<CatalogueHead> head = new Versioned<>(CatalogueHead.EMPTY, 0);
		Map<String, Versioned<StoredEntry>> entries = new HashMap<>();
		Set<String> unreadable = new HashSet<>();
		for (StoreRecord record : listing.records()) {
			if (record.key().equals(this.headKey)) {
				head = decodeHead(record);
			}
			else if (record.key().startsWith(this.entriesPrefix) && !putIfReadable(record, entries)) {
				unreadable.add(record.key().substring(this.entriesPrefix.length()));
			}
		}
		return new CatalogueListing(head, Map.copyOf(entries), Set.copyOf(unreadable));
	}

	/**
	 * Waits for a change of the head.
	 * @param index the store index returned by the previous call; 0 returns at once
	 * @param wait the maximum time to wait
	 * @return the head, with the store index for the next call as its version
	 */
	public Versioned<CatalogueHead> waitForHead(long index, Duration wait) {
		StoreListing listing = this.store.waitForChange(this.headKey, index, wait);
		CatalogueHead head = listing.records()
			.stream()
			.filter((record) -> record.key().equals(this.headKey))
			.map((record) -> decodeHead(record).value())
			.findFirst()
			.orElse(CatalogueHead.EMPTY);
		return new Versioned<>(head, listing.index());
	}

	/**
	 * Writes the head if its version in the store is unchanged. If the value would be too
	 * large, the oldest changes, whose entry keys have already been written, are dropped.
	 * @param head the new head
	 * @param version the version that was read, or 0 if there was none
	 * @return the result of the write
	 */
	public WriteResult writeHead(CatalogueHead head, long version) {
		CatalogueHead reducedHead = head;
		byte[] bytes = encode(reducedHead);
		while (bytes.length > MAXIMUM_HEAD_BYTES && reducedHead.changes().size() > 1) {
			reducedHead = reducedHead.withoutOldestHalf();
			bytes = encode(reducedHead);
		}
		return write(this.headKey, bytes, version);
	}

	/**
	 * Writes an entry if its version in the store is unchanged.
	 * @param entry the new entry
	 * @param version the version that was read, or 0 if there was none
	 * @return the result of the write
	 */
	public WriteResult writeEntry(StoredEntry entry, long version) {
		return write(this.entriesPrefix + entry.record().name(), encode(entry), version);
	}

	/**
	 * Writes a record under the key of its entry unless the key already holds it or a
	 * later one.
	 * @param record the record
	 * @return {@code true} if the key is known to hold the record or a later one
	 */
	public boolean writeIfNewer(CatalogueRecord record) {
		@Nullable Versioned<StoredEntry> storedEntry = readEntry(record.name()).orElse(null);
		if (storedEntry == null) {
			return writeEntry(StoredEntry.withLatest(null, record), 0) == WriteResult.APPLIED;
		}
		if (!RecordOrder.isNewer(record, storedEntry.value().record())) {
			return true;
		}
		return writeEntry(StoredEntry.withLatest(storedEntry.value(), record),
				storedEntry.version()) == WriteResult.APPLIED;
	}

	/**
	 * Writes the entry keys of all edits that the head lists as incomplete.
	 * @param head the head
	 * @return {@code true} if all of them are known to be written
	 */
	public boolean writeIncompleteEntries(CatalogueHead head) {
		List<CatalogueChange> incomplete = head.incompleteChanges();
		return incomplete.stream().allMatch((change) -> writeIfNewer(change.record()));
	}

	private WriteResult write(String key, byte[] bytes, long version) {
		return (version == 0) ? this.store.createIfAbsent(key, bytes, StorePriority.CATALOGUE)
				: this.store.compareAndSwap(key, bytes, version, StorePriority.CATALOGUE);
	}

	private boolean putIfReadable(StoreRecord record, Map<String, Versioned<StoredEntry>> entries) {
		try {
			Versioned<StoredEntry> entry = decodeEntry(record);
			entries.put(entry.value().record().name(), entry);
			return true;
		}
		catch (RouterException ex) {
			logger.warn("Skipped unreadable catalogue entry: {}", ex.getMessage());
			return false;
		}
	}

	private Versioned<CatalogueHead> decodeHead(StoreRecord record) {
		return new Versioned<>(decode(record, CatalogueHead.class), record.version());
	}

	private Versioned<StoredEntry> decodeEntry(StoreRecord record) {
		StoredEntry entry = decode(record, StoredEntry.class);
		if (entry.record() == null || !record.key().equals(this.entriesPrefix + entry.record().name())) {
			throw new RouterException(ErrorKind.INTERNAL,
					"The value of key " + record.key() + " does not match the entry named by the key");
		}
		return new Versioned<>(entry, record.version());
	}

	private byte[] encode(Object value) {
		try {
			return this.mapper.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new RouterException(ErrorKind.INTERNAL, "Failed to serialize a catalogue value", ex);
		}
	}

	private <T> T decode(StoreRecord record, Class<T> type) {
		try {
			return this.mapper.readValue(record.value(), type);
		}
		catch (IOException ex) {
			throw new RouterException(ErrorKind.INTERNAL, "The value of key " + record.key() + " cannot be parsed", ex);
		}
	}

}
