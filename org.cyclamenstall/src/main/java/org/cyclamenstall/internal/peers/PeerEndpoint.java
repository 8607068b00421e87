package org.cyclamenstall.internal.peers;

/**
 * Names where a daemon listens for its peers. Immutable.
 *
 * @param address the IP number
 * @param port the TCP port
 */
public record PeerEndpoint(String address, int port) {
}
