package org.cyclamenstall.internal.leadership;

import java.time.Duration;

/**
 * Settings of the leader election. Immutable.
 *
 * @param leaseDuration the time after which a leader that is not heard from is replaced
 * @param collectorAddress the address at which this daemon collects counts as a leader,
 * as {@code IP:PORT}
 */
public record LeadershipSettings(Duration leaseDuration, String collectorAddress) {

}
