package org.cyclamenstall.internal.upstream;

import org.jspecify.annotations.Nullable;

/**
 * Position up to which a stream has been relayed to the caller. Immutable.
 *
 * @param tokens the number of generated tokens that were relayed
 * @param lastEventId the identifier of the last event that was relayed, or {@code null}
 * if there is none or events have no identifiers
 */
public record ResumePoint(long tokens, @Nullable String lastEventId) {

	/** Position before the first event. */
	public static final ResumePoint START = new ResumePoint(0, null);

}
