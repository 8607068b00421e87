package org.cyclamenstall.pgm.command;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Options;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.ErrorTable;

/**
 * Prints the help texts of the command-line tool. Stateless.
 */
public final class HelpPrinter {

	private static final int WIDTH = 100;

	private static final int INDENT = 2;

	private static final int COLUMN_GAP = 4;

	private HelpPrinter() {
	}

	/**
	 * Prints the sub-commands and the exit codes.
	 * @param output the stream to print to
	 * @param prefix the prefix of the names of the listed sub-commands; empty for all
	 */
	public static void printOverview(PrintStream output, String prefix) {
		output.println("usage: cyclamenstall SUB-COMMAND [OPTIONS] [ARGUMENTS]");
		output.println();
		output.println("Sub-commands (each takes --help):");
		for (Subcommand subcommand : Subcommands.all()) {
			if (subcommand.name().startsWith(prefix)) {
				output.printf("  %-22s %s%n", (subcommand.name() + " " + subcommand.arguments()).strip(),
						subcommand.summary());
			}
		}
		printExitCodes(output);
	}

	/**
	 * Prints the help of a sub-command.
	 * @param output the stream to print to
	 * @param subcommand the sub-command
	 * @param options the options of the sub-command, including the general options
	 */
	public static void printSubcommand(PrintStream output, Subcommand subcommand, Options options) {
		output.println(
				("usage: cyclamenstall " + subcommand.name() + " [OPTIONS] " + subcommand.arguments()).stripTrailing());
		output.println();
		output.println(subcommand.summary());
		output.println();
		output.println("Options:");
		PrintWriter writer = new PrintWriter(output, true, StandardCharsets.UTF_8);
		new HelpFormatter().printOptions(writer, WIDTH, options, INDENT, COLUMN_GAP);
		writer.flush();
		printExitCodes(output);
	}

	private static void printExitCodes(PrintStream output) {
		Map<Integer, String> codes = new TreeMap<>(Arrays.stream(ErrorKind.values())
			.collect(Collectors.groupingBy((kind) -> ErrorTable.responseFor(kind).exitCode(),
					Collectors.mapping(ErrorKind::code, Collectors.joining(", ")))));
		output.println();
		output.println("Exit codes (errors go to standard error in one line with their code):");
		output.println("  0   success");
		codes.forEach((code, kinds) -> output.printf("  %-3d %s%n", code, kinds));
	}

}
