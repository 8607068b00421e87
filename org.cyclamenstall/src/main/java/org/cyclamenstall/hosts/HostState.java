package org.cyclamenstall.hosts;

/**
 * Lists the states of a host in the platform's host list.
 */
public enum HostState {

	/** The host accepts new requests. */
	LIVE,

	/** The host completes its running requests and accepts no new ones. */
	LEAVING

}
