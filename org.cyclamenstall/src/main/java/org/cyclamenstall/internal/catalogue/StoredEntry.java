package org.cyclamenstall.internal.catalogue;

import java.util.ArrayList;
import java.util.List;

import org.cyclamenstall.catalogue.CatalogueRecord;
import org.jspecify.annotations.Nullable;

/**
 * The value stored under the key of an entry. Immutable.
 *
 * @param record the latest record
 * @param previous the previous edits, latest first, limited to {@link #MAXIMUM_PREVIOUS}
 */
public record StoredEntry(CatalogueRecord record, List<EditSummary> previous) {

	/** The maximum number of previous edits kept with an entry. */
	public static final int MAXIMUM_PREVIOUS = 16;

	/**
	 * Copies the list of edits; a {@code null} list is replaced by an empty one.
	 */
	public StoredEntry {
		previous = (previous != null) ? List.copyOf(previous) : List.of();
	}

	/**
	 * Returns the value to store for a later record. The current record moves to the
	 * previous edits.
	 * @param stored the current value, or {@code null} if there is none
	 * @param record the later record
	 * @return the new value
	 */
	static StoredEntry withLatest(@Nullable StoredEntry stored, CatalogueRecord record) {
		List<EditSummary> previous = new ArrayList<>();
		if (stored != null) {
			previous.add(EditSummary.of(stored.record()));
			previous.addAll(stored.previous());
		}
		return new StoredEntry(record, previous.subList(0, Math.min(MAXIMUM_PREVIOUS, previous.size())));
	}

	/**
	 * Returns the latest edit and the previous ones that are kept.
	 * @return the edits, latest first
	 */
	public List<EditSummary> history() {
		List<EditSummary> history = new ArrayList<>();
		history.add(EditSummary.of(this.record));
		history.addAll(this.previous);
		return history;
	}

}
