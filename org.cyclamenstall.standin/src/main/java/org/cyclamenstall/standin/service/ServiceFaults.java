package org.cyclamenstall.standin.service;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.cyclamenstall.standin.http.Availability;
import org.jspecify.annotations.Nullable;

/**
 * The faults injected into a plain service. A component that is {@code null} injects no
 * fault. Components that end in {@code Next} give the number of subsequent requests or
 * responses to affect. Immutable.
 *
 * @param availability how connections are handled
 * @param delayMillis the delay before each execution, in milliseconds
 * @param answerDelayMillis the delay between execution and response, in milliseconds
 * @param refuseNext the number of requests to refuse with 503 without executing them
 * @param closeBeforeNext the number of requests whose connection is closed instead of
 * executing them
 * @param closeAfterNext the number of requests whose connection is closed after
 * execution, without a response
 * @param cutAnswerNext the number of executed requests whose response is truncated
 * @param foreignAnswerNext the number of responses with a wrong request identifier
 * @param draining whether responses carry the draining header; requests are executed as
 * before
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record ServiceFaults(@Nullable Availability availability, @Nullable Integer delayMillis,
		@Nullable Integer answerDelayMillis, @Nullable Integer refuseNext, @Nullable Integer closeBeforeNext,
		@Nullable Integer closeAfterNext, @Nullable Integer cutAnswerNext, @Nullable Integer foreignAnswerNext,
		@Nullable Boolean draining) {

	/** No faults. */
	public static final ServiceFaults NONE = new ServiceFaults(null, null, null, null, null, null, null, null, null);

}
