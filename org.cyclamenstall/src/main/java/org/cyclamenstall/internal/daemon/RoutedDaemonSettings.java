package org.cyclamenstall.internal.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;

import org.cyclamenstall.internal.peers.load.LoadExchangeSettings;
import org.cyclamenstall.internal.policy.placement.PlacementSettings;
import org.cyclamenstall.settings.CallerSettings;
import org.jspecify.annotations.Nullable;

/**
 * Settings of a daemon that serves routes. Immutable.
 *
 * @param host the name of this host
 * @param failureDomain the failure domain of this host
 * @param callers the settings of the caller port
 * @param readinessAddress the address of the readiness probe
 * @param readinessPath the path of the readiness probe
 * @param metricsAddress the address of the metrics endpoint, or {@code null} for none
 * @param maximumKeyStaleness the time for which API keys are accepted after the
 * configuration was last confirmed, or {@code null} for no limit
 * @param maximumStoreDisconnection the maximum time until a silent loss of the connection
 * to the store must be detected
 * @param maximumChangeDelay the maximum time until a change of the configuration or of
 * the list of upstreams must be in force
 * @param gracePeriod the time from the signal to shut down until the process is killed
 * @param placement the settings of the placement policy
 * @param loadExchange the settings of the load exchange with other daemons, or
 * {@code null} for none
 * @param coordination the settings of the work that one daemon does for all, or
 * {@code null} for none
 */
public record RoutedDaemonSettings(String host, String failureDomain, CallerSettings callers,
		InetSocketAddress readinessAddress, String readinessPath, @Nullable InetSocketAddress metricsAddress,
		@Nullable Duration maximumKeyStaleness, Duration maximumStoreDisconnection, Duration maximumChangeDelay,
		Duration gracePeriod, PlacementSettings placement, @Nullable LoadExchangeSettings loadExchange,
		@Nullable CoordinationSettings coordination) {

}
