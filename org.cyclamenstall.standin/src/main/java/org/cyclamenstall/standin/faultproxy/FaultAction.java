package org.cyclamenstall.standin.faultproxy;

/**
 * Lists what a {@link FaultRule} does to the bytes that it matches.
 */
public enum FaultAction {

	/** Keeps the bytes until the rule is released, then passes them on. */
	HOLD,

	/** Passes the bytes on after a delay. */
	DELAY,

	/** Drops the bytes and all that follow in this direction; the connection stays. */
	DISCARD,

	/** Drops the bytes and closes this direction in an orderly way. */
	HALF_CLOSE,

	/** Drops the bytes and closes both connections in an orderly way. */
	CLOSE,

	/** Drops the bytes and resets both connections. */
	RESET

}
