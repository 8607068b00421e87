package org.cyclamenstall.internal.daemon;

import java.time.Duration;

import org.cyclamenstall.internal.metering.MeteringSettings;

/**
 * Settings of the work that one daemon does for all. Immutable.
 *
 * @param leaseDuration the time after which a leader that is not heard from is replaced
 * @param metering the settings of the exchange of counts
 * @param reportsUsage whether the usage of client accounts is reported to the platform
 * @param ordersUpstreams whether upstreams are ordered from the platform
 */
public record CoordinationSettings(Duration leaseDuration, MeteringSettings metering, boolean reportsUsage,
		boolean ordersUpstreams) {

}
