package org.cyclamenstall.standin.engine;

/**
 * The fault injected into one response. {@link EngineFaults} describes the faults. The
 * names in lower case are part of the counter names of the stand-in.
 */
enum ResponseFault {

	NONE, CUT, FOREIGN_ID, MALFORMED, OVERSIZED, DUPLICATE

}
