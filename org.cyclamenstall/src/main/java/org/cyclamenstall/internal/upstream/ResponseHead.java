package org.cyclamenstall.internal.upstream;

import java.time.Duration;

import io.undertow.util.HeaderMap;
import org.jspecify.annotations.Nullable;

/**
 * Status and headers of an upstream's response, classified by its protocol.
 *
 * @param kind the classification
 * @param detail the detail message for the caller if the response is rejected
 * @param status the HTTP status
 * @param headers the headers
 * @param load the load that the upstream reports, or {@code null} if it reports none
 * @param draining whether the upstream states that it accepts no new work
 * @param unavailableFor the time for which the upstream wants no requests, or
 * {@code null} if it does not say so
 * @param idleTimeout how long the upstream keeps an idle connection open, or {@code null}
 * if it does not specify it
 */
public record ResponseHead(ResponseKind kind, String detail, int status, HeaderMap headers, @Nullable ReportedLoad load,
		boolean draining, @Nullable Duration unavailableFor, @Nullable Duration idleTimeout) {

}
