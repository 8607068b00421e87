package org.cyclamenstall.hosts;

/**
 * Tells whether a listed host takes new work.
 */
public enum HostState {

	/** The host takes work. */
	LIVE,

	/** The host ends its work and takes no more. */
	LEAVING

}
