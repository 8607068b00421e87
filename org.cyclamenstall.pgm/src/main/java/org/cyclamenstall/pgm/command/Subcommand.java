package org.cyclamenstall.pgm.command;

import org.apache.commons.cli.Options;

/**
 * A sub-command of the command-line tool. Implementations are stateless.
 */
public interface Subcommand {

	/**
	 * Returns the name of this sub-command.
	 * @return one or more words, separated by single spaces
	 */
	String name();

	/**
	 * Returns the arguments of this sub-command for the usage line.
	 * @return the arguments as shown in the usage line, empty if there are none
	 */
	default String arguments() {
		return "";
	}

	/**
	 * Returns a summary of this sub-command for the help.
	 * @return one line
	 */
	String summary();

	/**
	 * Returns the options of this sub-command.
	 * @return the options, without those that all sub-commands have
	 */
	default Options options() {
		return new Options();
	}

	/**
	 * Runs the sub-command.
	 * @param context the arguments and the standard streams
	 * @throws org.cyclamenstall.errors.RouterException if it fails
	 */
	void run(CommandContext context);

}
