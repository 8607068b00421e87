package org.cyclamenstall.internal.operators;

/**
 * Readiness of a daemon. Immutable.
 *
 * @param ready whether it accepts requests
 * @param reason why it does not accept requests, or empty if it does
 */
public record Readiness(boolean ready, String reason) {

}
