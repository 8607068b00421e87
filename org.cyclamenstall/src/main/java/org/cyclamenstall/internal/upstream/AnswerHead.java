package org.cyclamenstall.internal.upstream;

import java.time.Duration;

import io.undertow.util.HeaderMap;
import org.jspecify.annotations.Nullable;

/**
 * Holds the head of an upstream's answer.
 *
 * @param nature what it says
 * @param detail why it is mismatched or malformed, for the caller
 * @param status the HTTP status
 * @param headers the headers of the upstream
 * @param load the load that the upstream states, or {@code null} for none
 * @param draining whether the upstream says that it takes no new work
 * @param idleTime how long the upstream keeps an idle connection, or {@code null} if it
 * does not say
 */
public record AnswerHead(AnswerNature nature, String detail, int status, HeaderMap headers, @Nullable ReportedLoad load,
		boolean draining, @Nullable Duration idleTime) {

}
