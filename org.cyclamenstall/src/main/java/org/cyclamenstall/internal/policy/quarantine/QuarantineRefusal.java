package org.cyclamenstall.internal.policy.quarantine;

import java.time.Duration;

/**
 * Describes why a request is refused because of its prompt. Immutable.
 *
 * @param partId the identifier of the quarantined part
 * @param sinceMillis the time since the quarantine began
 * @param retryAfter the time after which the part may be tried again
 */
public record QuarantineRefusal(String partId, long sinceMillis, Duration retryAfter) {

}
