package org.cyclamenstall.standin.engine;

/**
 * The fault injected into one response.
 */
enum ResponseFault {

	NONE, CUT, FOREIGN_ID, MALFORMED, OVERSIZED, DUPLICATE

}
