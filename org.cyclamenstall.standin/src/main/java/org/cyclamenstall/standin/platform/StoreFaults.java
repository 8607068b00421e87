package org.cyclamenstall.standin.platform;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.cyclamenstall.standin.http.Availability;
import org.jspecify.annotations.Nullable;

/**
 * Describes the faults of the store that are in effect. A component that is {@code null}
 * has no fault. Immutable.
 *
 * @param availability how connections are treated
 * @param delayMillis the delay before each call is carried out, in milliseconds
 * @param loseNextAnswers the number of next writes that take effect and are not answered
 * @param loseAnswersShare the share of writes that take effect and are not answered, from
 * 0 to 1
 * @param frozen whether calls are accepted and neither carried out nor answered until it
 * is lifted
 * @param staleReads whether reads are answered from the state at the time this was set
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record StoreFaults(@Nullable Availability availability, @Nullable Integer delayMillis,
		@Nullable Integer loseNextAnswers, @Nullable Double loseAnswersShare, @Nullable Boolean frozen,
		@Nullable Boolean staleReads) {

	/** Holds no fault. */
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
