package org.cyclamenstall.internal.peers;

/**
 * Lists the results of an exchange that this daemon started. The names in lower case are
 * the values of a metric label.
 */
enum ExchangeResult {

	/** The peer responded. */
	ANSWERED,

	/**
	 * The peer had no known endpoint, or the call failed without a valid response, for
	 * example because the peer was unreachable or timed out.
	 */
	SILENT,

	/** The peer rejected the request. */
	REFUSED,

	/** The response came from another host or from an older incarnation. */
	MISMATCHED

}
