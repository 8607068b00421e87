package org.cyclamenstall.leadership;

/**
 * Describes the leader of the fleet. Immutable.
 *
 * @param host the name of its host
 * @param incarnation the start time of the daemon, in milliseconds since the epoch
 * @param address the address at which it collects counts, as {@code IP:PORT}
 * @param leaseId the lease to which the leadership is bound
 */
public record Leader(String host, long incarnation, String address, long leaseId) {

}
