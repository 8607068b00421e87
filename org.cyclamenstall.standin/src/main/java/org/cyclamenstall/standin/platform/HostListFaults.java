package org.cyclamenstall.standin.platform;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.cyclamenstall.standin.http.Availability;
import org.jspecify.annotations.Nullable;

/**
 * The faults injected into the host list. A component that is {@code null} injects no
 * fault. Immutable.
 *
 * @param availability how connections are handled
 * @param lagMillis the delay before a change is published, in milliseconds
 * @param delayMillis the delay before each call is handled, in milliseconds
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record HostListFaults(@Nullable Availability availability, @Nullable Integer lagMillis,
		@Nullable Integer delayMillis) {

	/** No faults. */
	public static final HostListFaults NONE = new HostListFaults(null, null, null);

}
