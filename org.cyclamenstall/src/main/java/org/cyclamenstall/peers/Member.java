package org.cyclamenstall.peers;

/**
 * Describes a daemon of the deployment as known to this daemon. Immutable.
 *
 * @param host its host name
 * @param incarnation its start time in milliseconds since the epoch, which distinguishes
 * a restarted daemon from the previous process on the same host
 * @param failureDomain its failure domain
 * @param address its IP address for peer connections
 * @param port its TCP port for peer connections
 * @param state its state as known to this daemon
 * @param catalogueRevision the highest catalogue revision that it reported in this
 * incarnation; zero if none was reported
 */
public record Member(String host, long incarnation, String failureDomain, String address, int port, MemberState state,
		long catalogueRevision) {

}
