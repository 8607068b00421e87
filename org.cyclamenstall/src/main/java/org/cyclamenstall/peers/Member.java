package org.cyclamenstall.peers;

/**
 * Describes one daemon as this daemon sees it. Immutable.
 *
 * @param host the name of its host
 * @param incarnation the time of its start in milliseconds since the epoch; tells a
 * restarted daemon from its former self
 * @param failureDomain its failure domain
 * @param address its IP number for peers
 * @param port its TCP port for peers
 * @param state what is known of it
 * @param catalogueRevision the catalogue revision that it last reported
 */
public record Member(String host, long incarnation, String failureDomain, String address, int port, MemberState state,
		long catalogueRevision) {

}
