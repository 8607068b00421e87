package org.cyclamenstall.internal.peers;

import java.util.List;

/**
 * Takes note of the daemons that send messages. Thread-safe; no method blocks.
 */
interface PeerReceiver {

	/**
	 * Takes a message.
	 * @param sender the sender
	 * @param leaving whether the sender is shutting down
	 * @param revision the catalogue revision of the sender
	 * @return what the message means
	 */
	ContactResult heard(PeerIdentity sender, boolean leaving, long revision);

	/**
	 * Returns whether this daemon is shutting down.
	 * @return {@code true} if it leaves
	 */
	boolean isLeaving();

	/**
	 * Returns the daemons that were heard.
	 * @return their identities
	 */
	List<PeerIdentity> identities();

}
