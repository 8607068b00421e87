package org.cyclamenstall.internal.upstream;

import org.cyclamenstall.hosts.ListedHost;

/**
 * Holds what is particular to one attempt of a request. Immutable.
 *
 * @param upstream the upstream
 * @param requestId the identifier of the request
 * @param attemptId the identifier of the attempt
 * @param resume how much of a stream the caller has
 * @param remainingMillis the time until the caller gives up, in milliseconds, at the
 * moment of sending; negative if it is not known
 */
public record AttemptTarget(ListedHost upstream, String requestId, String attemptId, ResumePoint resume,
		long remainingMillis) {

}
