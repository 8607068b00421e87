package org.cyclamenstall.internal.catalogue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.cyclamenstall.catalogue.CatalogueRecord;

/**
 * The value stored under the head key: the catalogue revision and the complete records of
 * the latest edits. An edit is accepted once its change is in the head; any daemon may
 * then write the key of its entry. A change is removed from the head only after the key
 * of its entry has been written. Immutable.
 *
 * @param revision the revision of the latest edit
 * @param completedRevision the revision up to which all entry keys have been written
 * @param changes the changes of the latest edits, in order of revision
 */
public record CatalogueHead(long revision, long completedRevision, List<CatalogueChange> changes) {

	/** The maximum number of changes in the head; older changes are dropped. */
	public static final int MAXIMUM_CHANGES = 16;

	/** The head of a store that does not have the head key yet. */
	public static final CatalogueHead EMPTY = new CatalogueHead(0, 0, List.of());

	/**
	 * Copies the list of changes; a {@code null} list is replaced by an empty one.
	 */
	public CatalogueHead {
		changes = (changes != null) ? List.copyOf(changes) : List.of();
	}

	/**
	 * Returns a head with one more change, dropping the oldest one if there are more than
	 * {@link #MAXIMUM_CHANGES}. The entry keys of all earlier changes must have been
	 * written, because they count as completed in the new head.
	 * @param record the record of the edit, with a higher revision than this head
	 * @param previousRevision the highest revision known before the edit
	 * @return the new head
	 */
	CatalogueHead withChange(CatalogueRecord record, long previousRevision) {
		List<CatalogueChange> newChanges = new ArrayList<>(this.changes);
		newChanges.add(new CatalogueChange(previousRevision, record));
		return new CatalogueHead(record.revision(), this.revision,
				newChanges.subList(Math.max(0, newChanges.size() - MAXIMUM_CHANGES), newChanges.size()));
	}

	CatalogueHead withoutOldestHalf() {
		List<CatalogueChange> latestChanges = this.changes.subList(this.changes.size() / 2, this.changes.size());
		return new CatalogueHead(this.revision, this.completedRevision, latestChanges);
	}

	/**
	 * Returns the changes whose entry keys may not have been written yet.
	 * @return the changes, in order of revision
	 */
	List<CatalogueChange> incompleteChanges() {
		return this.changes.stream().filter((change) -> change.revision() > this.completedRevision).toList();
	}

	/**
	 * Returns the records that are newer than the revision of a reader.
	 * @param readerRevision the revision of the reader
	 * @return the records, which may be none; an empty optional if this head does not
	 * contain all of them
	 */
	Optional<List<CatalogueRecord>> recordsAfter(long readerRevision) {
		List<CatalogueChange> missing = this.changes.stream()
			.filter((change) -> change.revision() > readerRevision)
			.toList();
		if (this.revision <= readerRevision) {
			return Optional.of(List.of());
		}
		if (missing.isEmpty() || missing.get(0).previousRevision() > readerRevision
				|| missing.get(missing.size() - 1).revision() != this.revision) {
			return Optional.empty();
		}
		return Optional.of(missing.stream().map(CatalogueChange::record).toList());
	}

	Optional<CatalogueRecord> latestRecord(String name) {
		return this.changes.stream()
			.map(CatalogueChange::record)
			.filter((record) -> record.name().equals(name))
			.reduce((first, second) -> second);
	}

	Optional<CatalogueRecord> findByEditId(String editId) {
		return this.changes.stream()
			.map(CatalogueChange::record)
			.filter((record) -> record.editId().equals(editId))
			.findFirst();
	}

}
