package org.cyclamenstall.catalogue;

import java.util.Collection;
import java.util.List;

/**
 * The daemon's replica of the catalogue, updated with newer records from the store and
 * from peers. The revision of an entry never decreases: an older record is rejected,
 * counted and logged, regardless of its source. Thread-safe; no method blocks on the
 * network.
 */
public interface CatalogueReplica extends CatalogueView {

	/**
	 * Returns whether the replica has been loaded from any source since the daemon
	 * started.
	 * @return {@code true} once records, even an empty collection, have been offered
	 */
	boolean isLoaded();

	/**
	 * Returns a summary of the active catalogue.
	 * @return the summary
	 */
	CatalogueSummary summary();

	/**
	 * Returns the records with a revision higher than the given one, tombstones included.
	 * @param revision the revision; zero for all records
	 * @return the records in order of revision
	 */
	List<CatalogueRecord> recordsAfter(long revision);

	/**
	 * Applies the records that are newer than those of the replica. They are active when
	 * the method returns.
	 * @param records the records, in any order
	 * @param source the source of the records for logs; its first word is also the value
	 * of a metric label
	 * @return the number of records newer than those of the replica
	 */
	int offer(Collection<CatalogueRecord> records, String source);

}
