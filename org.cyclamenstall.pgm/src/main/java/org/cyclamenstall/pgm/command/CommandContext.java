package org.cyclamenstall.pgm.command;

import java.io.InputStream;
import java.io.PrintStream;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;

/**
 * Holds the arguments and the streams of one call of the tool. Immutable; the streams are
 * not closed.
 *
 * @param line the parsed options and arguments
 * @param format the form of output
 * @param input the standard input
 * @param output the standard output
 * @param errors the standard error
 */
public record CommandContext(CommandLine line, OutputFormat format, InputStream input, PrintStream output,
		PrintStream errors) {

	/**
	 * Returns the arguments.
	 * @return the arguments in order
	 */
	List<String> arguments() {
		return this.line.getArgList();
	}

	/**
	 * Returns the only argument.
	 * @param what what the argument is
	 * @return the argument
	 */
	String onlyArgument(String what) {
		List<String> arguments = this.line.getArgList();
		if (arguments.size() != 1) {
			throw new RouterException(ErrorKind.USAGE, "expected " + what + "; see --help");
		}
		return arguments.get(0);
	}

	/**
	 * Refuses arguments.
	 */
	void noArguments() {
		if (!this.line.getArgList().isEmpty()) {
			throw new RouterException(ErrorKind.USAGE, "expected no argument; see --help");
		}
	}

	/**
	 * Returns an option that is a number from 0.
	 * @param name the long name of the option
	 * @param fallback the value without the option
	 * @return the number
	 */
	long number(String name, long fallback) {
		String text = this.line.getOptionValue(name);
		try {
			long value = (text != null) ? Long.parseLong(text) : fallback;
			if (text == null || value >= 0) {
				return value;
			}
		}
		catch (NumberFormatException ex) {
			throw new RouterException(ErrorKind.USAGE, "--" + name + " must be a number from 0", ex);
		}
		throw new RouterException(ErrorKind.USAGE, "--" + name + " must be a number from 0");
	}

}
