package org.cyclamenstall.pgm;

import java.io.InputStream;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.ErrorTable;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.pgm.command.CommandContext;
import org.cyclamenstall.pgm.command.HelpPrinter;
import org.cyclamenstall.pgm.command.OutputFormat;
import org.cyclamenstall.pgm.command.Subcommand;
import org.cyclamenstall.pgm.command.Subcommands;

/**
 * Main class of {@code cyclamenstall}, the command-line tool with which operators inspect
 * a daemon and edit the catalogue. Stateless.
 */
public final class CommandLineMain {

	private static final String HELP = "help";

	private static final String OUTPUT = "output";

	private CommandLineMain() {
	}

	/**
	 * Runs the tool and exits the process with its exit code.
	 * @param arguments the command-line arguments
	 */
	public static void main(String[] arguments) {
		Configurator.setRootLevel(Level.OFF);
		System.exit(run(Arrays.asList(arguments), System.in, System.out, System.err));
	}

	/**
	 * Runs the tool. Errors are printed in one line with their code.
	 * @param arguments the command-line arguments
	 * @param input the standard input
	 * @param output the standard output
	 * @param errors the standard error
	 * @return the exit code
	 */
	public static int run(List<String> arguments, InputStream input, PrintStream output, PrintStream errors) {
		try {
			Optional<Subcommand> subcommand = Subcommands.find(arguments);
			if (subcommand.isPresent()) {
				return run(subcommand.get(), arguments, input, output, errors);
			}
			return runWithoutSubcommand(arguments, output);
		}
		catch (RouterException ex) {
			errors.println("cyclamenstall: " + ex.kind().code() + ": " + toSingleLine(ex.getMessage()));
			return ErrorTable.responseFor(ex.kind()).exitCode();
		}
		catch (RuntimeException ex) {
			errors.println("cyclamenstall: " + ErrorKind.INTERNAL.code() + ": " + toSingleLine(ex.toString()));
			return ErrorTable.responseFor(ErrorKind.INTERNAL).exitCode();
		}
	}

	private static int run(Subcommand subcommand, List<String> arguments, InputStream input, PrintStream output,
			PrintStream errors) {
		Options options = options(subcommand);
		int words = subcommand.name().split(" ").length;
		CommandLine line = parse(options, arguments.subList(words, arguments.size()));
		if (line.hasOption(HELP)) {
			HelpPrinter.printSubcommand(output, subcommand, options);
			return 0;
		}
		subcommand.run(new CommandContext(line, format(line), input, output, errors));
		return 0;
	}

	private static int runWithoutSubcommand(List<String> arguments, PrintStream output) {
		List<String> words = arguments.stream().filter((argument) -> !argument.startsWith("-")).toList();
		String prefix = String.join(" ", words);
		boolean known = Subcommands.all().stream().anyMatch((subcommand) -> subcommand.name().startsWith(prefix));
		if (known && (arguments.contains("--" + HELP) || arguments.contains("-h"))) {
			HelpPrinter.printOverview(output, prefix);
			return 0;
		}
		String problem = prefix.isEmpty() ? "no sub-command given" : "no sub-command '" + prefix + "'";
		throw new RouterException(ErrorKind.USAGE, problem + "; see cyclamenstall --help");
	}

	private static CommandLine parse(Options options, List<String> arguments) {
		try {
			return new DefaultParser().parse(options, arguments.toArray(String[]::new));
		}
		catch (ParseException ex) {
			throw new RouterException(ErrorKind.USAGE, ex.getMessage() + "; see --help", ex);
		}
	}

	private static Options options(Subcommand subcommand) {
		Options options = subcommand.options();
		options.addOption(Option.builder("h").longOpt(HELP).desc("print this help").get());
		options.addOption(Option.builder()
			.longOpt("daemon")
			.hasArg()
			.argName("ADDRESS:PORT")
			.desc("operator address of the daemon (default: environment variable CYCLAMENSTALL_DAEMON)")
			.get());
		options.addOption(Option.builder()
			.longOpt("token-file")
			.hasArg()
			.argName("FILE")
			.desc("file with the operator token (default: environment variable CYCLAMENSTALL_TOKEN_FILE)")
			.get());
		options.addOption(Option.builder("o")
			.longOpt(OUTPUT)
			.hasArg()
			.argName("FORMAT")
			.desc("output format: table (default) or json (one document per line)")
			.get());
		return options;
	}

	private static OutputFormat format(CommandLine line) {
		String format = line.getOptionValue(OUTPUT, "table");
		try {
			return OutputFormat.valueOf(format.toUpperCase(Locale.ROOT));
		}
		catch (IllegalArgumentException ex) {
			throw new RouterException(ErrorKind.USAGE, "--output must be table or json", ex);
		}
	}

	private static String toSingleLine(String text) {
		return String.valueOf(text).replaceAll("\\s*\\R\\s*", " ");
	}

}
