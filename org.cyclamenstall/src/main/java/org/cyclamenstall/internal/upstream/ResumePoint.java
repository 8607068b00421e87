package org.cyclamenstall.internal.upstream;

import org.jspecify.annotations.Nullable;

/**
 * Tells how much of a stream the caller has. Immutable.
 *
 * @param tokens the generated tokens that were relayed
 * @param lastEventId the identifier of the last event that was relayed, or {@code null}
 * if none was or events carry none
 */
public record ResumePoint(long tokens, @Nullable String lastEventId) {

	/** Stands before the first event. */
	public static final ResumePoint START = new ResumePoint(0, null);

}
