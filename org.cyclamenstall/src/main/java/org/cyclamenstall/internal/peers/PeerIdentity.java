package org.cyclamenstall.internal.peers;

import org.jspecify.annotations.Nullable;

/**
 * Identifies one incarnation of a daemon by the values that it reports about itself.
 * Immutable.
 *
 * @param host its host name
 * @param incarnation its start time in milliseconds since the epoch
 * @param failureDomain its failure domain; empty if not reported
 * @param endpoint its endpoint for peers, or {@code null} if not reported
 */
public record PeerIdentity(String host, long incarnation, String failureDomain, @Nullable PeerEndpoint endpoint) {
}
