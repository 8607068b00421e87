package org.cyclamenstall.standin.engine;

/**
 * The fault injected into one response. {@link EngineFaults} describes the faults.
 */
enum ResponseFault {

	NONE, TRUNCATED, WRONG_REQUEST_ID, MALFORMED, OVERSIZED, DUPLICATE

}
