package org.cyclamenstall.internal.peers.load;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Settings of the load exchange. Immutable.
 *
 * @param address the address on which reports are received
 * @param seeds the addresses of daemons to which the first reports are sent
 */
public record LoadExchangeSettings(InetSocketAddress address, List<InetSocketAddress> seeds) {

}
