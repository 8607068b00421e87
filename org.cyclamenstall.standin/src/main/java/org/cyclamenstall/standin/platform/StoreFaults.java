package org.cyclamenstall.standin.platform;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.cyclamenstall.standin.http.Availability;
import org.jspecify.annotations.Nullable;

/**
 * The faults injected into the store. A component that is {@code null} injects no fault.
 * Immutable.
 *
 * @param availability how connections are handled
 * @param delayMillis the delay before each call is executed, in milliseconds
 * @param loseNextAnswers the number of subsequent writes and deletions that are executed
 * but get no response
 * @param loseAnswersShare the share of writes and deletions that are executed but get no
 * response, from 0 to 1
 * @param frozen whether calls are accepted but not executed until the fault is removed
 * @param staleReads whether reads return the state at the time when the fault was set
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record StoreFaults(@Nullable Availability availability, @Nullable Integer delayMillis,
		@Nullable Integer loseNextAnswers, @Nullable Double loseAnswersShare, @Nullable Boolean frozen,
		@Nullable Boolean staleReads) {

	/** No faults. */
	public static final StoreFaults NONE = new StoreFaults(null, null, null, null, null, null);

	Availability effectiveAvailability() {
		return (this.availability != null) ? this.availability : Availability.UP;
	}

	int effectiveDelayMillis() {
		return (this.delayMillis != null) ? this.delayMillis : 0;
	}

	boolean isFrozen() {
		return Boolean.TRUE.equals(this.frozen);
	}

	boolean hasStaleReads() {
		return Boolean.TRUE.equals(this.staleReads);
	}

}
