package org.cyclamenstall.internal.daemon;

import org.cyclamenstall.control.ControlApi;
import org.cyclamenstall.hosts.HostCodec;
import org.cyclamenstall.internal.gateway.RequestHeaderCodec;
import org.cyclamenstall.internal.gateway.ResponseWriter;
import org.cyclamenstall.internal.store.StoreGenerations;
import org.cyclamenstall.internal.upstream.UpstreamProtocol;
import org.cyclamenstall.routes.RouteTableCodec;
import org.cyclamenstall.store.LeasedStore;
import org.cyclamenstall.store.WatchedStore;
import org.jspecify.annotations.Nullable;

/**
 * Adapters that integrate a daemon into its deployment: the store, its keys, and the
 * codecs of its records and protocols. Immutable.
 *
 * @param store the store of the deployment
 * @param leasedStore the same store, for writes
 * @param generations the generations of the store, as its responses state them
 * @param controlApi the API of the platform, or {@code null} if it has none
 * @param watchedPrefix the prefix of the keys to watch
 * @param configurationKey the key of the configuration record
 * @param routeTableCodec the decoder of the configuration record
 * @param hostsPrefix the prefix of the keys of upstream records
 * @param hostCodec the decoder of upstream records
 * @param requestHeaderCodec the decoder of request headers
 * @param upstreamProtocol the protocol spoken with upstreams
 * @param responseWriter the writer of responses to callers
 */
public record RoutedDeployment(WatchedStore store, LeasedStore leasedStore, StoreGenerations generations,
		@Nullable ControlApi controlApi, String watchedPrefix, String configurationKey, RouteTableCodec routeTableCodec,
		String hostsPrefix, HostCodec hostCodec, RequestHeaderCodec requestHeaderCodec,
		UpstreamProtocol upstreamProtocol, ResponseWriter responseWriter) {

}
