package org.cyclamenstall.internal.hosts;

import java.util.Map;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.cyclamenstall.hosts.HostState;
import org.cyclamenstall.hosts.ListedHost;
import org.jspecify.annotations.Nullable;

/**
 * Mirrors one element of an answer of the host list. Immutable.
 *
 * @param node the host
 * @param service the service on it
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record ConsulHost(@JsonProperty(value = "Node", required = true) Node node,
		@JsonProperty(value = "Service", required = true) Instance service) {

	ListedHost toListedHost(String name) {
		Map<String, String> meta = (this.service.meta() != null) ? this.service.meta() : Map.of();
		HostState state = "leaving".equals(meta.get("state")) ? HostState.LEAVING : HostState.LIVE;
		return new ListedHost(name, this.node.node(), this.service.address(), this.service.port(),
				meta.getOrDefault("failure-domain", "unknown"), state);
	}

	/**
	 * Mirrors the host of an element.
	 *
	 * @param node the name of the host
	 */
	@JsonIgnoreProperties(ignoreUnknown = true)
	record Node(@JsonProperty(value = "Node", required = true) String node) {

	}

	/**
	 * Mirrors the service of an element.
	 *
	 * @param address the IP address
	 * @param port the TCP port
	 * @param meta further properties
	 */
	@JsonIgnoreProperties(ignoreUnknown = true)
	record Instance(@JsonProperty(value = "Address", required = true) String address,
			@JsonProperty(value = "Port", required = true) int port,
			@JsonProperty("Meta") @Nullable Map<String, String> meta) {

	}

}
