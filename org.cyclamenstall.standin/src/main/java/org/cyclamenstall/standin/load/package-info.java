/**
 * An open-loop load generator that sends the requests of a scenario to daemons and
 * reports the latencies seen by callers.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.standin.load;
