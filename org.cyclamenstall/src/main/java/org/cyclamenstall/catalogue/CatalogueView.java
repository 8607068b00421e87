package org.cyclamenstall.catalogue;

import java.util.function.Consumer;

/**
 * Gives the catalogue in force on this daemon. Thread-safe.
 */
public interface CatalogueView {

	/**
	 * Returns the catalogue in force; its revision never goes back.
	 * @return the current snapshot
	 */
	Catalogue current();

	/**
	 * Adds a listener that is called with each newer snapshot, in order of revision.
	 * @param listener the listener
	 */
	void addListener(Consumer<Catalogue> listener);

}
