package org.cyclamenstall.pgm.command;

import org.apache.commons.cli.Options;

/**
 * Carries out one sub-command. Has no state.
 */
public interface Subcommand {

	/**
	 * Returns the words that select this sub-command.
	 * @return the words, with one space between
	 */
	String name();

	/**
	 * Returns the arguments after the name.
	 * @return the arguments in the form of a usage line, empty for none
	 */
	default String arguments() {
		return "";
	}

	/**
	 * Returns what the sub-command does.
	 * @return one line
	 */
	String summary();

	/**
	 * Returns the options of this sub-command alone.
	 * @return the options
	 */
	default Options options() {
		return new Options();
	}

	/**
	 * Carries out the sub-command.
	 * @param context the arguments and the streams
	 * @throws org.cyclamenstall.errors.RouterException if it fails
	 */
	void run(CommandContext context);

}
