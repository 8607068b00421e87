package org.cyclamenstall.standin.platform;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * One host of a service in the platform's host list. Immutable.
 *
 * @param host the name of the host
 * @param address the IP address
 * @param port the TCP port
 * @param failureDomain the failure domain of the host
 * @param state {@code live} or {@code leaving}
 */
public record ListedService(@JsonProperty(required = true) String host, @JsonProperty(required = true) String address,
		@JsonProperty(required = true) int port, @JsonProperty(required = true) String failureDomain,
		@JsonProperty(required = true) String state) {

	/** The state of a host that accepts new requests. */
	public static final String LIVE = "live";

	/** The state of a host that accepts no new requests. */
	public static final String LEAVING = "leaving";

}
