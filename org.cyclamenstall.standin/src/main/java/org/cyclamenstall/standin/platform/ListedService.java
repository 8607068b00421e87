package org.cyclamenstall.standin.platform;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Describes one host of a service in the platform's list. Immutable.
 *
 * @param host the name of the host
 * @param address its IP number
 * @param port its TCP port
 * @param failureDomain its failure domain
 * @param state {@code live} or {@code leaving}
 */
public record ListedService(@JsonProperty(required = true) String host, @JsonProperty(required = true) String address,
		@JsonProperty(required = true) int port, @JsonProperty(required = true) String failureDomain,
		@JsonProperty(required = true) String state) {

	/** The state of a host that serves. */
	public static final String LIVE = "live";

	/** The state of a host that takes no new work. */
	public static final String LEAVING = "leaving";

}
