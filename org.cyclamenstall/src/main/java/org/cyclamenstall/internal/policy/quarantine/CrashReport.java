package org.cyclamenstall.internal.policy.quarantine;

import java.util.Set;

/**
 * Reports that an upstream lost its connections before it responded to requests with
 * certain prompt parts. Immutable.
 *
 * @param crash the key of the run of the upstream that ended
 * @param ageMillis the time since the crash
 * @param parts the keys of the suspected prompt parts
 */
public record CrashReport(long crash, long ageMillis, Set<Long> parts) {

}
