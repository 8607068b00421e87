package org.cyclamenstall.standin.engine;

/**
 * The fault injected into one response.
 */
enum AnswerFault {

	NONE, CUT, FOREIGN_ID, MALFORMED, OVERSIZED, DUPLICATE

}
