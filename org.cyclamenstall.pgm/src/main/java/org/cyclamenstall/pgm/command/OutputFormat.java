package org.cyclamenstall.pgm.command;

/**
 * Lists the forms of output.
 */
public enum OutputFormat {

	/** A table for people. */
	TABLE,

	/** JSON as the daemon answered it, one document a line. */
	JSON

}
