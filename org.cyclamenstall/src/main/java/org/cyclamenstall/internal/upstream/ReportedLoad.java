package org.cyclamenstall.internal.upstream;

/**
 * Load that an upstream reports in its response headers. Immutable.
 *
 * @param running the number of running requests
 * @param slots the number of requests that can run at the same time
 * @param ageMillis the age of the report, in milliseconds
 */
public record ReportedLoad(int running, int slots, long ageMillis) {

}
