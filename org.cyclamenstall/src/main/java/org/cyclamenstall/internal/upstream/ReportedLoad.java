package org.cyclamenstall.internal.upstream;

/**
 * Holds the load that an upstream stated in its answer. Immutable.
 *
 * @param running its running requests
 * @param slots its slots
 * @param ageMillis the age of its statement, in milliseconds
 */
public record ReportedLoad(int running, int slots, long ageMillis) {

}
