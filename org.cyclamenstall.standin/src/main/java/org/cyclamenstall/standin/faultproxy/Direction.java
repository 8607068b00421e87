package org.cyclamenstall.standin.faultproxy;

/**
 * Direction of relayed bytes.
 */
public enum Direction {

	/** From the client to the server. */
	REQUEST,

	/** From the server to the client. */
	RESPONSE

}
