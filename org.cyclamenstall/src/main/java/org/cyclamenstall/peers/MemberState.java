package org.cyclamenstall.peers;

/**
 * Lists the states of a daemon in the membership. A daemon that does not respond becomes
 * a suspect; this does not prove that it has stopped.
 */
public enum MemberState {

	/**
	 * A message was received from the daemon, and fewer than two consecutive exchanges
	 * have failed since.
	 */
	ALIVE,

	/** Two or more consecutive exchanges failed, or no message was received yet. */
	SUSPECT,

	/** The daemon announced that it is shutting down. */
	LEAVING

}
