package org.cyclamenstall.standin.engine;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.cyclamenstall.standin.http.Availability;
import org.jspecify.annotations.Nullable;

/**
 * Describes the faults of an engine that are in effect. A component that is {@code null}
 * has no fault. The numbers of next answers count down as they are met. Immutable.
 *
 * @param availability how connections are treated
 * @param slowdown by how many times every step and prefill takes longer
 * @param stalled whether no token is made
 * @param reportLagMillis the age of the load in reports, in milliseconds
 * @param draining whether new requests are refused and answers carry the mark
 * @param cutNext the number of next answers that are cut
 * @param cutAfterTokens the tokens before the cut
 * @param foreignIdNext the number of next answers with another attempt's identifier
 * @param malformedNext the number of next answers with malformed JSON
 * @param oversizedNext the number of next answers with an event of several megabytes
 * @param duplicateNext the number of next answers that are sent a second time on the same
 * connection
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record EngineFaults(@Nullable Availability availability, @Nullable Double slowdown, @Nullable Boolean stalled,
		@Nullable Integer reportLagMillis, @Nullable Boolean draining, @Nullable Integer cutNext,
		@Nullable Integer cutAfterTokens, @Nullable Integer foreignIdNext, @Nullable Integer malformedNext,
		@Nullable Integer oversizedNext, @Nullable Integer duplicateNext) {

	/** Holds no fault. */
	public static final EngineFaults NONE = new EngineFaults(null, null, null, null, null, null, null, null, null, null,
			null);

	/**
	 * Describes an engine that is slower.
	 * @param slowdown by how many times
	 * @param reportLagMillis the age of the load in reports, in milliseconds
	 * @return the faults
	 */
	public static EngineFaults slow(double slowdown, int reportLagMillis) {
		return new EngineFaults(null, slowdown, null, reportLagMillis, null, null, null, null, null, null, null);
	}

	boolean isDraining() {
		return Boolean.TRUE.equals(this.draining);
	}

}
