package org.cyclamenstall.standin.platform;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.cyclamenstall.standin.http.Availability;
import org.jspecify.annotations.Nullable;

/**
 * Describes the faults of the host list that are in effect. A component that is
 * {@code null} has no fault. Immutable.
 *
 * @param availability how connections are treated
 * @param lagMillis how long after a change it is published, in milliseconds
 * @param delayMillis the delay before each call is answered, in milliseconds
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record HostListFaults(@Nullable Availability availability, @Nullable Integer lagMillis,
		@Nullable Integer delayMillis) {

	/** Holds no fault. */
	public static final HostListFaults NONE = new HostListFaults(null, null, null);

}
