package org.cyclamenstall.internal.catalogue;

import java.util.ArrayList;
import java.util.List;

import org.cyclamenstall.catalogue.CatalogueRecord;
import org.jspecify.annotations.Nullable;

/**
 * Holds what the store keeps under the key of an entry. Immutable.
 *
 * @param record the latest record
 * @param previous the edits before it, latest first, bounded in number
 */
public record StoredEntry(CatalogueRecord record, List<EditSummary> previous) {

	/** The number of earlier edits that are kept with an entry. */
	public static final int MAXIMUM_PREVIOUS = 16;

	/**
	 * Copies the list.
	 */
	public StoredEntry {
		previous = (previous != null) ? List.copyOf(previous) : List.of();
	}

	/**
	 * Puts a record on top of what is stored.
	 * @param stored what is stored, or {@code null} if nothing is
	 * @param record the later record
	 * @return the result
	 */
	static StoredEntry next(@Nullable StoredEntry stored, CatalogueRecord record) {
		List<EditSummary> previous = new ArrayList<>();
		if (stored != null) {
			previous.add(EditSummary.of(stored.record()));
			previous.addAll(stored.previous());
		}
		return new StoredEntry(record, previous.subList(0, Math.min(MAXIMUM_PREVIOUS, previous.size())));
	}

	/**
	 * Returns all edits that are known.
	 * @return the edits, latest first
	 */
	public List<EditSummary> history() {
		List<EditSummary> history = new ArrayList<>();
		history.add(EditSummary.of(this.record));
		history.addAll(this.previous);
		return history;
	}

}
