package org.cyclamenstall.catalogue;

import java.util.function.Consumer;

/**
 * Provides the active catalogue of this daemon. Thread-safe.
 */
public interface CatalogueView {

	/**
	 * Returns the active catalogue. Its revision never decreases.
	 * @return the current snapshot
	 */
	Catalogue current();

	/**
	 * Adds a listener that receives each new snapshot, in order of revision.
	 * @param listener the listener
	 */
	void addListener(Consumer<Catalogue> listener);

}
