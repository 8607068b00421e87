package org.cyclamenstall.peers;

/**
 * Lists the states of a daemon in the membership. A daemon that does not respond becomes
 * a suspect; this does not prove that it has stopped.
 */
public enum MemberState {

	/** The daemon responded to recent exchanges. */
	ALIVE,

	/** Recent exchanges with the daemon failed, or it has not sent a message yet. */
	SUSPECT,

	/** The daemon announced that it is shutting down. */
	LEAVING

}
