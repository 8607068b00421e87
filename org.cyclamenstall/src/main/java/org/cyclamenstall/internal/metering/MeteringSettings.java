package org.cyclamenstall.internal.metering;

import java.net.InetSocketAddress;

/**
 * Settings of the metering. Immutable.
 *
 * @param address the address on which counts and notices are received
 * @param schedule the windows
 */
public record MeteringSettings(InetSocketAddress address, WindowSchedule schedule) {

}
