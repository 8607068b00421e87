package org.cyclamenstall.internal.peers;

/**
 * Lists the results of checking the sender of a peer message against the membership.
 */
public enum SenderCheckResult {

	/** The sender was not known with this incarnation. */
	NEW,

	/** The sender is known with this incarnation. */
	KNOWN,

	/** A newer incarnation of the sender is known; the message is ignored. */
	OLDER_INCARNATION,

	/** Another daemon uses the host name of this daemon, with a different incarnation. */
	SAME_HOST,

	/** The sender is this daemon itself. */
	SELF

}
