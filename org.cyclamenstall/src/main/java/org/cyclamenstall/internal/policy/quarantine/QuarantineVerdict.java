package org.cyclamenstall.internal.policy.quarantine;

/**
 * Reports that a prompt part is quarantined. Immutable.
 *
 * @param part the key of the prompt part
 * @param ageMillis the time since the quarantine began
 * @param durationMillis the duration of the quarantine
 * @param repetitions the number of earlier quarantines of the part that a new crash
 * followed
 */
public record QuarantineVerdict(long part, long ageMillis, long durationMillis, int repetitions) {

}
