package org.cyclamenstall.internal.hosts;

import java.util.Map;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.cyclamenstall.hosts.HostState;
import org.cyclamenstall.hosts.ListedHost;
import org.jspecify.annotations.Nullable;

/**
 * Maps one element of a response of the Consul health endpoint. Immutable.
 *
 * @param node the host
 * @param service the service instance on the host
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record ConsulHost(@JsonProperty(value = "Node", required = true) Node node,
		@JsonProperty(value = "Service", required = true) Instance service) {

	ListedHost toListedHost(String serviceName) {
		Map<String, String> meta = (this.service.meta() != null) ? this.service.meta() : Map.of();
		HostState state = "leaving".equals(meta.get("state")) ? HostState.LEAVING : HostState.LIVE;
		return new ListedHost(serviceName, this.node.node(), this.service.address(), this.service.port(),
				meta.getOrDefault("failure-domain", "unknown"), state);
	}

	/**
	 * Maps the node of an element.
	 *
	 * @param node the name of the host
	 */
	@JsonIgnoreProperties(ignoreUnknown = true)
	record Node(@JsonProperty(value = "Node", required = true) String node) {

	}

	/**
	 * Maps the service instance of an element.
	 *
	 * @param address the IP address
	 * @param port the TCP port
	 * @param meta the metadata of the instance, or {@code null} if absent
	 */
	@JsonIgnoreProperties(ignoreUnknown = true)
	record Instance(@JsonProperty(value = "Address", required = true) String address,
			@JsonProperty(value = "Port", required = true) int port,
			@JsonProperty("Meta") @Nullable Map<String, String> meta) {

	}

}
