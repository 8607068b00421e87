package org.cyclamenstall.standin.engine;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.cyclamenstall.standin.http.Availability;
import org.jspecify.annotations.Nullable;

/**
 * The faults injected into an engine. A component that is {@code null} injects no fault.
 * Components that end in {@code Next} give the number of subsequent responses to affect.
 * Immutable.
 *
 * @param availability how connections are handled
 * @param slowdown the factor by which every step and prefill takes longer
 * @param stalled whether the engine stops generating tokens
 * @param reportLagMillis the age of the load in load reports, in milliseconds;
 * {@code null} for the age in the {@link EngineOptions}
 * @param draining whether new requests are refused and responses carry the draining
 * header
 * @param cutNext the number of responses to truncate
 * @param cutAfterTokens the number of tokens before the truncation of a stream;
 * {@code null} for 5. A non-streamed response is truncated in the middle.
 * @param foreignIdNext the number of responses with a wrong attempt identifier
 * @param malformedNext the number of responses with malformed JSON
 * @param oversizedNext the number of responses with a text of 4 MiB in one event of a
 * stream, or of 32 MiB in a non-streamed response
 * @param duplicateNext the number of responses to duplicate on the same connection; of a
 * stream, only the last event and the end marker are sent twice
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record EngineFaults(@Nullable Availability availability, @Nullable Double slowdown, @Nullable Boolean stalled,
		@Nullable Integer reportLagMillis, @Nullable Boolean draining, @Nullable Integer cutNext,
		@Nullable Integer cutAfterTokens, @Nullable Integer foreignIdNext, @Nullable Integer malformedNext,
		@Nullable Integer oversizedNext, @Nullable Integer duplicateNext) {

	/** No faults. */
	public static final EngineFaults NONE = new EngineFaults(null, null, null, null, null, null, null, null, null, null,
			null);

	/**
	 * Creates the faults of an engine that is slower and reports its load late.
	 * @param slowdown the factor by which every step and prefill takes longer
	 * @param reportLagMillis the age of the load in load reports, in milliseconds
	 * @return the faults
	 */
	public static EngineFaults slow(double slowdown, int reportLagMillis) {
		return new EngineFaults(null, slowdown, null, reportLagMillis, null, null, null, null, null, null, null);
	}

	boolean isDraining() {
		return Boolean.TRUE.equals(this.draining);
	}

}
