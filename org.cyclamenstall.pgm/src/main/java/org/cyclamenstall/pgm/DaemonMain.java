package org.cyclamenstall.pgm;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.ErrorTable;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.internal.daemon.Daemon;
import org.cyclamenstall.internal.daemon.ShutdownSignal;
import org.cyclamenstall.internal.logging.LogSetup;
import org.cyclamenstall.internal.yaml.CheckedYamlReader;
import org.cyclamenstall.settings.DaemonSettings;

/**
 * Main class of the daemon {@code cyclamenstalld}. Prints one JSON line with its
 * addresses to standard output once the daemon has started; events also go to standard
 * output, log messages to standard error. The exit code is 0 after a graceful shutdown.
 */
public final class DaemonMain {

	private static final String PROGRAM = "cyclamenstalld";

	private static final Option SETTINGS = Option.builder()
		.longOpt("settings")
		.hasArg()
		.argName("FILE")
		.desc("daemon settings file, in YAML")
		.get();

	private static final Option HELP = Option.builder("h").longOpt("help").desc("print this help").get();

	private DaemonMain() {
	}

	/**
	 * Runs the daemon until SIGTERM or SIGINT is received.
	 * @param arguments the command-line arguments
	 */
	public static void main(String[] arguments) {
		System.setProperty("java.util.logging.manager", "org.apache.logging.log4j.jul.LogManager");
		System.setProperty("org.jboss.logging.provider", "log4j2");
		System.exit(run(arguments));
	}

	private static int run(String[] arguments) {
		try {
			CommandLine line = new DefaultParser().parse(options(), arguments);
			if (line.hasOption(HELP)) {
				printHelp();
				return 0;
			}
			if (!line.hasOption(SETTINGS)) {
				throw new RouterException(ErrorKind.USAGE, "missing required option: --settings");
			}
			return serve(Path.of(line.getOptionValue(SETTINGS)));
		}
		catch (ParseException ex) {
			return report(new RouterException(ErrorKind.USAGE, ex.getMessage()));
		}
		catch (RouterException ex) {
			return report(ex);
		}
	}

	private static int serve(Path file) {
		DaemonSettings settings = new CheckedYamlReader(ErrorKind.SETTINGS_INVALID).read(file, DaemonSettings.class);
		LogSetup.apply(settings.logs());
		try (Daemon daemon = new Daemon(settings)) {
			ShutdownSignal signal = ShutdownSignal.install();
			daemon.start();
			System.out.println(daemon.readyLine());
			System.out.flush();
			signal.await();
			daemon.shutDown(signal);
		}
		return 0;
	}

	private static int report(RouterException ex) {
		System.err.println(PROGRAM + ": " + ex.kind().code() + ": " + ex.getMessage());
		return ErrorTable.responseFor(ex.kind()).exitCode();
	}

	private static Options options() {
		return new Options().addOption(SETTINGS).addOption(HELP);
	}

	private static void printHelp() {
		try {
			HelpFormatter.builder().get().printHelp(PROGRAM + " --settings FILE", "", options(), "", false);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
