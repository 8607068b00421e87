package org.cyclamenstall.catalogue;

import java.util.Collection;
import java.util.List;

/**
 * Holds the catalogue in force on this daemon and takes newer records from the store and
 * from peers. The revision of each record only grows: an older one is refused, counted
 * and logged, whoever offers it. Thread-safe; no method blocks on the network.
 */
public interface CatalogueReplica extends CatalogueView {

	/**
	 * Returns whether any source has given a catalogue since the start.
	 * @return {@code true} once a catalogue, even an empty one, was taken
	 */
	boolean isLoaded();

	/**
	 * Sums up the catalogue in force.
	 * @return the summary
	 */
	CatalogueSummary summary();

	/**
	 * Returns the records with a higher revision, tombstones included.
	 * @param revision the revision; zero for all records
	 * @return the records in order of revision
	 */
	List<CatalogueRecord> recordsAfter(long revision);

	/**
	 * Takes records and puts the newer ones in force before it returns.
	 * @param records the records, in any order
	 * @param source where they come from, for the log
	 * @return the number of records that were newer
	 */
	int offer(Collection<CatalogueRecord> records, String source);

}
