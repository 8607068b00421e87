package org.cyclamenstall.standin.service;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.cyclamenstall.standin.http.Availability;
import org.jspecify.annotations.Nullable;

/**
 * Describes the faults of a plain service that are in effect. A component that is
 * {@code null} has no fault. The numbers of next requests count down as they are met.
 * Immutable.
 *
 * @param availability how connections are treated
 * @param delayMillis the delay before each execution, in milliseconds
 * @param answerDelayMillis the delay between execution and answer, in milliseconds
 * @param refuseNext the number of next requests that are refused with 503 and not
 * executed
 * @param closeBeforeNext the number of next requests whose connection is closed before
 * they are executed
 * @param closeAfterNext the number of next requests that are executed and whose
 * connection is closed without an answer
 * @param cutAnswerNext the number of next requests that are executed and whose answer
 * ends early
 * @param foreignAnswerNext the number of next answers that carry another request's
 * identifier
 * @param draining whether answers carry the mark of an upstream that takes no new work
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record ServiceFaults(@Nullable Availability availability, @Nullable Integer delayMillis,
		@Nullable Integer answerDelayMillis, @Nullable Integer refuseNext, @Nullable Integer closeBeforeNext,
		@Nullable Integer closeAfterNext, @Nullable Integer cutAnswerNext, @Nullable Integer foreignAnswerNext,
		@Nullable Boolean draining) {

	/** Holds no fault. */
	public static final ServiceFaults NONE = new ServiceFaults(null, null, null, null, null, null, null, null, null);

}
