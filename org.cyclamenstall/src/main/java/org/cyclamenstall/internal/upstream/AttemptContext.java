package org.cyclamenstall.internal.upstream;

import org.cyclamenstall.hosts.ListedHost;

/**
 * Data that is specific to one attempt of a request. Immutable.
 *
 * @param upstream the upstream
 * @param requestId the identifier of the request
 * @param attemptId the identifier of the attempt
 * @param resumePoint how much of a stream has already been relayed
 * @param remainingMillis the time from sending until the deadline of the caller, in
 * milliseconds; negative if there is no deadline
 */
public record AttemptContext(ListedHost upstream, String requestId, String attemptId, ResumePoint resumePoint,
		long remainingMillis) {

}
