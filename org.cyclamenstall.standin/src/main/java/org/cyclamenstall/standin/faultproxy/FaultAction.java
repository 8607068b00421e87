package org.cyclamenstall.standin.faultproxy;

/**
 * Actions of a {@link FaultRule} on the bytes that it matches.
 */
public enum FaultAction {

	/**
	 * Holds the bytes until {@link FaultRule#release()}, which forwards them, or
	 * {@link FaultRule#drop()}, which drops them.
	 */
	HOLD,

	/** Forwards the bytes after a delay. */
	DELAY,

	/** Drops the bytes but keeps the connection open. */
	DISCARD,

	/** Drops the bytes and shuts down the output to the receiver (TCP half-close). */
	HALF_CLOSE,

	/** Drops the bytes and closes both connections normally. */
	CLOSE,

	/** Drops the bytes and resets both connections. */
	RESET

}
