package org.cyclamenstall.pgm.command;

import java.io.InputStream;
import java.io.PrintStream;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;

/**
 * Arguments and standard streams of one invocation of the tool. Immutable; sub-commands
 * do not close the streams.
 *
 * @param commandLine the parsed options and arguments
 * @param format the output format
 * @param input the standard input
 * @param output the standard output
 * @param errors the standard error
 */
public record CommandContext(CommandLine commandLine, OutputFormat format, InputStream input, PrintStream output,
		PrintStream errors) {

	/**
	 * Returns the arguments that are not options.
	 * @return the arguments in order
	 */
	List<String> arguments() {
		return this.commandLine.getArgList();
	}

	/**
	 * Returns the only argument.
	 * @param description the description of the argument in the error message
	 * @return the argument
	 * @throws RouterException of kind {@code USAGE} unless there is exactly one argument
	 */
	String singleArgument(String description) {
		List<String> arguments = this.commandLine.getArgList();
		if (arguments.size() != 1) {
			throw new RouterException(ErrorKind.USAGE, "expected " + description + "; see --help");
		}
		return arguments.get(0);
	}

	/**
	 * Checks that there are no arguments.
	 * @throws RouterException of kind {@code USAGE} if there are arguments
	 */
	void requireNoArguments() {
		if (!this.commandLine.getArgList().isEmpty()) {
			throw new RouterException(ErrorKind.USAGE, "expected no arguments; see --help");
		}
	}

	/**
	 * Returns the value of an option that must be a non-negative integer.
	 * @param name the long name of the option
	 * @param defaultValue the value if the option is not given
	 * @return the value
	 * @throws RouterException of kind {@code USAGE} if the value is invalid
	 */
	long nonNegativeOption(String name, long defaultValue) {
		String text = this.commandLine.getOptionValue(name);
		try {
			long value = (text != null) ? Long.parseLong(text) : defaultValue;
			if (text == null || value >= 0) {
				return value;
			}
		}
		catch (NumberFormatException ex) {
			throw new RouterException(ErrorKind.USAGE, "--" + name + " must be a non-negative integer", ex);
		}
		throw new RouterException(ErrorKind.USAGE, "--" + name + " must be a non-negative integer");
	}

}
