package org.cyclamenstall.internal.peers;

/**
 * Tells how an exchange that this daemon began ended.
 */
enum ExchangeResult {

	/** The peer answered. */
	ANSWERED,

	/** The peer could not be reached or did not answer in time. */
	SILENT,

	/** The peer refused the message. */
	REFUSED,

	/** The answer came from another host or from an older incarnation. */
	MISMATCHED

}
