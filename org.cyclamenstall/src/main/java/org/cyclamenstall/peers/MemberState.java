package org.cyclamenstall.peers;

/**
 * Tells what is known of another daemon. Silence makes a suspect and proves nothing.
 */
public enum MemberState {

	/** It answered lately. */
	ALIVE,

	/** It did not answer lately. */
	SUSPECT,

	/** It said that it is shutting down. */
	LEAVING

}
