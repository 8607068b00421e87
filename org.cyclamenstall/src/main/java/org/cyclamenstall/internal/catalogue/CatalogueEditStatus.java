package org.cyclamenstall.internal.catalogue;

/**
 * The status of a catalogue edit.
 */
public enum CatalogueEditStatus {

	/** The edit was accepted and remains active until a later edit of the entry. */
	ACCEPTED,

	/**
	 * The entry is not at the expected revision, for example because of a concurrent
	 * edit; nothing was changed.
	 */
	CONFLICT,

	/** The entry is invalid; nothing was changed. */
	INVALID,

	/** The entry to delete does not exist; nothing was changed. */
	ENTRY_UNKNOWN,

	/** The edit could not be made within the timeout; nothing was changed. */
	UNAVAILABLE,

	/**
	 * The store did not confirm whether the edit was accepted. Repeating the edit with
	 * the same edit identifier determines the outcome.
	 */
	UNKNOWN

}
