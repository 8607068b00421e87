package org.cyclamenstall.internal.policy.limits;

/**
 * Describes the fleet-wide demand on one limit. Immutable.
 *
 * @param own the demand that this daemon last reported
 * @param peers the total demand in the current reports of the other daemons
 * @param hostsWithoutReport the number of daemons that share the limit without a current
 * report
 * @param sharingHostCount the number of daemons that share the limit, including this one
 */
public record FleetDemand(double own, double peers, int hostsWithoutReport, int sharingHostCount) {

}
