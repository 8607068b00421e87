package org.cyclamenstall.internal.catalogue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.cyclamenstall.catalogue.CatalogueRecord;

/**
 * All catalogue keys of the store, read at one store index. Immutable.
 *
 * @param head the head
 * @param entries the entries by name
 * @param unreadable the names of the entries whose values could not be parsed
 */
public record CatalogueListing(Versioned<CatalogueHead> head, Map<String, Versioned<StoredEntry>> entries,
		Set<String> unreadable) {

	/**
	 * Returns the latest record of each entry, taken from its key or from the head.
	 * @return the records
	 */
	List<CatalogueRecord> records() {
		Map<String, CatalogueRecord> latest = new HashMap<>();
		this.entries.forEach((name, entry) -> latest.put(name, entry.value().record()));
		for (CatalogueChange change : this.head.value().changes()) {
			latest.merge(change.record().name(), change.record(), RecordOrder::newer);
		}
		return List.copyOf(latest.values());
	}

}
