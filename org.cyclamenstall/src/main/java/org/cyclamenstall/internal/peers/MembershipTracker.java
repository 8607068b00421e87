package org.cyclamenstall.internal.peers;

import java.util.List;

/**
 * Tracks the daemons that send messages to this one. Thread-safe; no method blocks.
 */
interface MembershipTracker {

	/**
	 * Records a message from another daemon, unless its sender is rejected.
	 * @param sender the sender of the message
	 * @param leaving whether the sender is shutting down
	 * @param revision the catalogue revision of the sender
	 * @return the result of the sender check; the message must be ignored unless the
	 * sender is {@link SenderCheckResult#NEW} or {@link SenderCheckResult#KNOWN}
	 */
	SenderCheckResult onMessage(PeerIdentity sender, boolean leaving, long revision);

	/**
	 * Returns whether this daemon is shutting down.
	 * @return {@code true} after the shutdown has begun
	 */
	boolean isLeaving();

	/**
	 * Returns the daemons from which a message was received.
	 * @return their identities
	 */
	List<PeerIdentity> identities();

}
