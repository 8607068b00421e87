package org.cyclamenstall.store;

import java.time.Duration;

/**
 * Lease of a store. Immutable.
 *
 * @param id the identifier
 * @param duration the time from the arrival of its request, or of its last renewal, to
 * its end
 */
public record StoreLease(long id, Duration duration) {

}
