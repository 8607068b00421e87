package org.cyclamenstall.standin.engine;

/**
 * The fault injected into one response. {@link EngineFaults} describes the faults.
 */
enum ResponseFault {

	NONE, CUT, FOREIGN_ID, MALFORMED, OVERSIZED, DUPLICATE

}
