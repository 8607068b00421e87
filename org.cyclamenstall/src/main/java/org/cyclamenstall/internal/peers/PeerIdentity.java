package org.cyclamenstall.internal.peers;

import org.jspecify.annotations.Nullable;

/**
 * Identifies one run of a daemon as it reports itself. Immutable.
 *
 * @param host the name of its host
 * @param incarnation the time of its start in milliseconds since the epoch
 * @param failureDomain its failure domain; empty if it was not reported
 * @param endpoint where it listens, or {@code null} if it was not reported
 */
public record PeerIdentity(String host, long incarnation, String failureDomain, @Nullable PeerEndpoint endpoint) {
}
