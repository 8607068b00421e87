package org.cyclamenstall.pgm.command;

/**
 * Output formats of the command-line tool.
 */
public enum OutputFormat {

	/** Table with a header row. */
	TABLE,

	/** JSON as returned by the daemon, one document per line. */
	JSON

}
