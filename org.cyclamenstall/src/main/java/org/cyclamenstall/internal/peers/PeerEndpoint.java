package org.cyclamenstall.internal.peers;

/**
 * Holds the address and port at which a daemon accepts peer connections. Immutable.
 *
 * @param address the IP address
 * @param port the TCP port
 */
public record PeerEndpoint(String address, int port) {
}
