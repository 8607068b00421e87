package org.cyclamenstall.standin.engine;

/**
 * Tells what is wrong with one answer.
 */
enum AnswerFault {

	NONE, CUT, FOREIGN_ID, MALFORMED, OVERSIZED, DUPLICATE

}
