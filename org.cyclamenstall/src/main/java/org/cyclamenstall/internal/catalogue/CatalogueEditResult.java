package org.cyclamenstall.internal.catalogue;

/**
 * Tells what became of an edit of the catalogue.
 */
public enum CatalogueEditResult {

	/** The edit is accepted and stays in force until a later one. */
	ACCEPTED,

	/** Another edit came first; nothing was changed. */
	CONFLICT,

	/** The entry fails its checks; nothing was changed. */
	INVALID,

	/** There is no such entry to delete; nothing was changed. */
	ENTRY_UNKNOWN,

	/** The edit could not be made now; nothing was changed. */
	UNAVAILABLE,

	/**
	 * The store did not say whether the edit was accepted. Repeating it with the same
	 * edit identifier settles it.
	 */
	UNKNOWN

}
