package org.cyclamenstall.internal.policy.quarantine;

/**
 * Reports that an upstream began to respond to a request with a prompt part. Immutable.
 *
 * @param part the key of the prompt part
 * @param ageMillis the time since the response began
 */
public record PartSuccess(long part, long ageMillis) {

}
