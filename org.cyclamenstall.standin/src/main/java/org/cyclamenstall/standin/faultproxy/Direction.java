package org.cyclamenstall.standin.faultproxy;

/**
 * Names the direction of relayed bytes.
 */
public enum Direction {

	/** From the client to the server. */
	REQUEST,

	/** From the server to the client. */
	ANSWER

}
