package org.cyclamenstall.internal.catalogue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.cyclamenstall.catalogue.CatalogueRecord;

/**
 * Holds what the store keeps under the head key: the revision of the catalogue and the
 * latest edits whole. An edit is accepted when its change stands in the head; the key of
 * its entry is written afterwards, by anyone. A change leaves the head only after the key
 * of its entry was written. Immutable.
 *
 * @param revision the revision of the latest edit
 * @param completedRevision the revision up to which the keys of the entries are written
 * @param changes the latest edits in order of revision
 */
public record CatalogueHead(long revision, long completedRevision, List<CatalogueChange> changes) {

	/** The number of edits that are kept in the head. */
	public static final int MAXIMUM_CHANGES = 16;

	/** Stands for a head that was never written. */
	public static final CatalogueHead EMPTY = new CatalogueHead(0, 0, List.of());

	/**
	 * Copies the list.
	 */
	public CatalogueHead {
		changes = (changes != null) ? List.copyOf(changes) : List.of();
	}

	/**
	 * Adds an edit. The changes before it are complete.
	 * @param record the record of the edit, with a higher revision than this head
	 * @param previousRevision the highest revision known before the edit
	 * @return the next head
	 */
	CatalogueHead with(CatalogueRecord record, long previousRevision) {
		List<CatalogueChange> next = new ArrayList<>(this.changes);
		next.add(new CatalogueChange(previousRevision, record));
		return new CatalogueHead(record.revision(), this.revision,
				next.subList(Math.max(0, next.size() - MAXIMUM_CHANGES), next.size()));
	}

	CatalogueHead withoutOldestHalf() {
		List<CatalogueChange> latest = this.changes.subList(this.changes.size() / 2, this.changes.size());
		return new CatalogueHead(this.revision, this.completedRevision, latest);
	}

	/**
	 * Returns the edits whose entries may not be written yet.
	 * @return the changes in order of revision
	 */
	List<CatalogueChange> incompleteChanges() {
		return this.changes.stream().filter((change) -> change.revision() > this.completedRevision).toList();
	}

	/**
	 * Returns the records that a reader lacks.
	 * @param heldRevision the revision that the reader holds
	 * @return the records, or empty if this head no longer reaches back to that revision
	 */
	Optional<List<CatalogueRecord>> recordsAfter(long heldRevision) {
		List<CatalogueChange> missing = this.changes.stream()
			.filter((change) -> change.revision() > heldRevision)
			.toList();
		if (this.revision <= heldRevision) {
			return Optional.of(List.of());
		}
		if (missing.isEmpty() || missing.get(0).previousRevision() > heldRevision
				|| missing.get(missing.size() - 1).revision() != this.revision) {
			return Optional.empty();
		}
		return Optional.of(missing.stream().map(CatalogueChange::record).toList());
	}

	Optional<CatalogueRecord> latestOf(String name) {
		return this.changes.stream()
			.map(CatalogueChange::record)
			.filter((record) -> record.name().equals(name))
			.reduce((first, second) -> second);
	}

	Optional<CatalogueRecord> recordOfEdit(String editId) {
		return this.changes.stream()
			.map(CatalogueChange::record)
			.filter((record) -> record.editId().equals(editId))
			.findFirst();
	}

}
