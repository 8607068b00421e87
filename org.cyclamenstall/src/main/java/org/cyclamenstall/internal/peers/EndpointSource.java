package org.cyclamenstall.internal.peers;

/**
 * Lists the sources of a daemon's endpoint in order of preference.
 */
enum EndpointSource {

	/** Reported by the daemon itself. */
	REPORTED,

	/** Listed by the platform's host list. */
	LISTED,

	/** Configured as a seed in the settings. */
	SEED,

	/** Reported by another daemon. */
	GOSSIP

}
