package org.cyclamenstall.internal.daemon;

import org.cyclamenstall.hosts.HostCodec;
import org.cyclamenstall.internal.gateway.RequestHeaderCodec;
import org.cyclamenstall.internal.gateway.ResponseWriter;
import org.cyclamenstall.internal.upstream.UpstreamProtocol;
import org.cyclamenstall.routes.RouteTableCodec;
import org.cyclamenstall.store.WatchedStore;

/**
 * Holds what translates between a daemon and its deployment. Immutable.
 *
 * @param store the store of the deployment
 * @param watchedPrefix the prefix of all keys that are followed
 * @param configurationKey the key of the configuration
 * @param configurations decodes the configuration
 * @param hostsPrefix the prefix of the keys that describe upstreams
 * @param hosts decodes the records of upstreams
 * @param heads reads the heads of requests
 * @param upstreams speaks with upstreams
 * @param answers writes answers to callers
 */
public record RoutedDeployment(WatchedStore store, String watchedPrefix, String configurationKey,
		RouteTableCodec configurations, String hostsPrefix, HostCodec hosts, RequestHeaderCodec heads,
		UpstreamProtocol upstreams, ResponseWriter answers) {

}
