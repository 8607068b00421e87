package org.cyclamenstall.internal.peers;

/**
 * Tells who names the endpoint of a daemon, most trusted first.
 */
enum EndpointSource {

	/** The daemon itself. */
	REPORTED,

	/** The platform's list of hosts. */
	LISTED,

	/** The settings. */
	SEEDED,

	/** Another daemon. */
	HEARSAY

}
