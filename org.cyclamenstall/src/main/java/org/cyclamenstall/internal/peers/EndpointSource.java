package org.cyclamenstall.internal.peers;

/**
 * Lists the sources of a daemon's endpoint, the most preferred one first.
 */
enum EndpointSource {

	/** Reported by the daemon itself. */
	REPORTED,

	/** Contained in the platform's host list. */
	LISTED,

	/** Configured as a seed in the settings. */
	SEED,

	/** Reported by another daemon. */
	GOSSIP

}
