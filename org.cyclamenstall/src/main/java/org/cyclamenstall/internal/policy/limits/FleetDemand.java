package org.cyclamenstall.internal.policy.limits;

/**
 * Holds the demand on one limit. Immutable.
 *
 * @param own the demand that this daemon reported last
 * @param peers the sum of the demand that the other live daemons reported lately
 * @param silentHosts the live daemons whose report is missing or old
 * @param liveHosts the live daemons, this one included
 */
public record FleetDemand(double own, double peers, int silentHosts, int liveHosts) {

}
