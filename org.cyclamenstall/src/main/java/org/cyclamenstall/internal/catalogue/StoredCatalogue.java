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
 * Reads and writes the keys of the catalogue in the store. Unknown fields of a value are
 * ignored, so that daemons of two versions can run side by side. Thread-safe; blocks.
 */
public final class StoredCatalogue {

	private static final Logger logger = LogManager.getLogger(StoredCatalogue.class);

	private static final int MAXIMUM_HEAD_BYTES = 262_144;

	private final ObjectMapper mapper = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.build();

	private final ConfigurationStore store;

	private final String headKey;

	private final String entriesPrefix;

	private final String cataloguePrefix;

	/**
	 * Creates an accessor.
	 * @param store the store
	 * @param prefix the prefix of all keys of the deployment
	 */
	public StoredCatalogue(ConfigurationStore store, String prefix) {
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
		return record.map(this::head).orElseGet(() -> new Versioned<>(CatalogueHead.EMPTY, 0));
	}

	/**
	 * Reads an entry.
	 * @param name the name of the entry
	 * @return the entry, or empty if its key was never written
	 */
	public Optional<Versioned<StoredEntry>> readEntry(String name) {
		return this.store.get(this.entriesPrefix + name, StorePriority.CATALOGUE).map(this::entry);
	}

	/**
	 * Reads everything in one call.
	 * @return the listing
	 */
	public CatalogueListing readAll() {
		StoreListing listing = this.store.list(this.cataloguePrefix, StorePriority.CATALOGUE);
		Versioned<CatalogueHead> head = new Versioned<>(CatalogueHead.EMPTY, 0);
		Map<String, Versioned<StoredEntry>> entries = new HashMap<>();
		Set<String> unreadable = new HashSet<>();
		for (StoreRecord record : listing.records()) {
			if (record.key().equals(this.headKey)) {
				head = head(record);
			}
			else if (record.key().startsWith(this.entriesPrefix) && !putEntry(record, entries)) {
				unreadable.add(record.key().substring(this.entriesPrefix.length()));
			}
		}
		return new CatalogueListing(head, Map.copyOf(entries), Set.copyOf(unreadable));
	}

	/**
	 * Waits until the head changes after an index.
	 * @param index the index of an earlier wait; 0 returns at once
	 * @param wait the longest wait
	 * @return the head, at the index to wait from next
	 */
	public Versioned<CatalogueHead> waitForHead(long index, Duration wait) {
		StoreListing listing = this.store.waitForChange(this.headKey, index, wait);
		CatalogueHead head = listing.records()
			.stream()
			.filter((record) -> record.key().equals(this.headKey))
			.map((record) -> head(record).value())
			.findFirst()
			.orElse(CatalogueHead.EMPTY);
		return new Versioned<>(head, listing.index());
	}

	/**
	 * Writes the head if it is unchanged. Its oldest changes, which are complete, are
	 * left out while its value would be too large.
	 * @param head the new head
	 * @param version the version that was read, or 0 if there was none
	 * @return what became of the write
	 */
	public WriteResult writeHead(CatalogueHead head, long version) {
		CatalogueHead fitting = head;
		byte[] bytes = encode(fitting);
		while (bytes.length > MAXIMUM_HEAD_BYTES && fitting.changes().size() > 1) {
			fitting = fitting.withoutOldestHalf();
			bytes = encode(fitting);
		}
		return write(this.headKey, bytes, version);
	}

	/**
	 * Writes an entry if it is unchanged.
	 * @param entry the new entry
	 * @param version the version that was read, or 0 if there was none
	 * @return what became of the write
	 */
	public WriteResult writeEntry(StoredEntry entry, long version) {
		return write(this.entriesPrefix + entry.record().name(), encode(entry), version);
	}

	/**
	 * Writes a record under the key of its entry unless that holds it or a later one.
	 * @param record the record
	 * @return {@code true} if the key now holds the record or a later one; {@code false}
	 * if that is not known
	 */
	public boolean complete(CatalogueRecord record) {
		@Nullable Versioned<StoredEntry> stored = readEntry(record.name()).orElse(null);
		if (stored == null) {
			return writeEntry(StoredEntry.next(null, record), 0) == WriteResult.APPLIED;
		}
		if (!RecordOrder.isLater(record, stored.value().record())) {
			return true;
		}
		return writeEntry(StoredEntry.next(stored.value(), record), stored.version()) == WriteResult.APPLIED;
	}

	/**
	 * Writes the keys of the edits that the head still lists as incomplete.
	 * @param head the head
	 * @return {@code false} if one of them is not known to be written
	 */
	public boolean completeAll(CatalogueHead head) {
		List<CatalogueChange> incomplete = head.incompleteChanges();
		return incomplete.stream().allMatch((change) -> complete(change.record()));
	}

	private WriteResult write(String key, byte[] bytes, long version) {
		return (version == 0) ? this.store.createIfAbsent(key, bytes, StorePriority.CATALOGUE)
				: this.store.compareAndSwap(key, bytes, version, StorePriority.CATALOGUE);
	}

	private boolean putEntry(StoreRecord record, Map<String, Versioned<StoredEntry>> entries) {
		try {
			Versioned<StoredEntry> entry = entry(record);
			entries.put(entry.value().record().name(), entry);
			return true;
		}
		catch (RouterException ex) {
			logger.warn("Skipped an entry of the listing: {}", ex.getMessage());
			return false;
		}
	}

	private Versioned<CatalogueHead> head(StoreRecord record) {
		return new Versioned<>(decode(record, CatalogueHead.class), record.version());
	}

	private Versioned<StoredEntry> entry(StoreRecord record) {
		StoredEntry entry = decode(record, StoredEntry.class);
		if (entry.record() == null || !record.key().equals(this.entriesPrefix + entry.record().name())) {
			throw new RouterException(ErrorKind.INTERNAL, "The value of key " + record.key() + " is not an entry");
		}
		return new Versioned<>(entry, record.version());
	}

	private byte[] encode(Object value) {
		try {
			return this.mapper.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new RouterException(ErrorKind.INTERNAL, "A catalogue value cannot be written", ex);
		}
	}

	private <T> T decode(StoreRecord record, Class<T> type) {
		try {
			return this.mapper.readValue(record.value(), type);
		}
		catch (IOException ex) {
			throw new RouterException(ErrorKind.INTERNAL, "The value of key " + record.key() + " cannot be read", ex);
		}
	}

}
