package org.cyclamenstall.internal.operators;

/**
 * Tells whether the daemon takes requests. Immutable.
 *
 * @param ready whether it does
 * @param reason why it does not, empty if it does
 */
public record Readiness(boolean ready, String reason) {

}
