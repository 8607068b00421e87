package org.cyclamenstall.internal.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;

import org.cyclamenstall.internal.policy.placement.PlacementSettings;
import org.cyclamenstall.settings.CallerSettings;
import org.jspecify.annotations.Nullable;

/**
 * Holds the settings of a daemon that serves routes. Immutable.
 *
 * @param host the name of this host
 * @param failureDomain the failure domain of this host
 * @param callers the port for callers
 * @param readiness the address at which readiness is asked for
 * @param readinessPath the path at which readiness is asked for
 * @param metrics the address at which metrics are served, or {@code null} for none
 * @param keyBound how long API keys are believed after the configuration was last
 * confirmed, or {@code null} if for ever
 * @param shutdownTime how long a graceful shutdown may take
 * @param placement the bounds of the placement of requests
 */
public record RoutedDaemonSettings(String host, String failureDomain, CallerSettings callers,
		InetSocketAddress readiness, String readinessPath, @Nullable InetSocketAddress metrics,
		@Nullable Duration keyBound, Duration shutdownTime, PlacementSettings placement) {

}
