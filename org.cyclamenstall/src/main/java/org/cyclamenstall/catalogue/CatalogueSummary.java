package org.cyclamenstall.catalogue;

/**
 * Summary of a catalogue by which two daemons detect whether they hold the same records.
 * Immutable.
 *
 * @param revision the highest revision of any record
 * @param digest a hash over the name, revision and edit identifier of every record,
 * independent of their order
 */
public record CatalogueSummary(long revision, long digest) {

}
