package org.cyclamenstall.catalogue;

/**
 * Sums up a catalogue so that two daemons can tell whether they hold the same. Immutable.
 *
 * @param revision the highest revision of any record
 * @param digest a hash over the name and revision of every record
 */
public record CatalogueSummary(long revision, long digest) {

}
