package org.cyclamenstall.internal.peers;

/**
 * Tells what the membership makes of a message from a daemon.
 */
public enum ContactResult {

	/** The daemon was not known in this incarnation. */
	NEW,

	/** The daemon is known in this incarnation. */
	KNOWN,

	/** A newer incarnation of the daemon is known; the message is void. */
	OLDER_INCARNATION,

	/** The message carries the name of this host but not its incarnation. */
	SAME_HOST,

	/** The message comes from this daemon itself. */
	SELF

}
