package org.cyclamenstall.standin.site;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Demonstrates a deployment on one machine: starts stand-ins and daemons, writes
 * catalogue entries and sends one request of each kind. With {@code --once} it then stops
 * all processes; the exit code is 0 if every response was as expected and 1 otherwise.
 */
public final class DemoMain {

	private static final int DAEMONS = 5;

	private static final int EXIT_CHECK_FAILED = 1;

	private static final int EXIT_USAGE = 2;

	private static final Option ONCE = Option.builder()
		.longOpt("once")
		.desc("stop after the requests; the exit code is 0 if every response was as expected")
		.get();

	private static final Option EXAMPLES = Option.builder()
		.longOpt("examples")
		.hasArg()
		.argName("DIRECTORY")
		.desc("the directory of the example catalogues; default: examples")
		.get();

	private static final Option HELP = Option.builder("h").longOpt("help").desc("print this help").get();

	private DemoMain() {
	}

	/**
	 * Runs the demonstration.
	 * @param arguments the command-line arguments
	 * @throws InterruptedException if the main thread is interrupted
	 */
	public static void main(String[] arguments) throws InterruptedException {
		PrintStream output = new PrintStream(System.out, true, StandardCharsets.UTF_8);
		try {
			CommandLine line = new DefaultParser()
				.parse(new Options().addOption(ONCE).addOption(EXAMPLES).addOption(HELP), arguments);
			if (line.hasOption(HELP)) {
				output.println("usage: cyclamenstall-demo [--once]");
				output.println("  --once                " + ONCE.getDescription());
				output.println("  --examples DIRECTORY  " + EXAMPLES.getDescription());
				output.println("  -h, --help            " + HELP.getDescription());
				return;
			}
			Path examples = Path.of(line.getOptionValue(EXAMPLES, "examples"));
			System.exit(run(output, examples, line.hasOption(ONCE) ? DemoMode.ONCE : DemoMode.KEEP_RUNNING));
		}
		catch (ParseException ex) {
			System.err.println("cyclamenstall-demo: usage: " + ex.getMessage());
			System.exit(EXIT_USAGE);
		}
	}

	private static int run(PrintStream output, Path examples, DemoMode mode) throws InterruptedException {
		output.println("Starting the stand-ins and " + DAEMONS + " daemons");
		try (Site site = new SiteLauncher(settings()).start()) {
			DemoRequests requests = new DemoRequests(site, output);
			DemoDeployment.all().forEach((deployment) -> deployment.putEntries(site, examples));
			DemoDeployment.all().forEach(requests::send);
			output.println(requests.failedChecks() + " wrong answers");
			if (mode == DemoMode.KEEP_RUNNING) {
				printAddresses(output, site);
				new CountDownLatch(1).await();
			}
			return (requests.failedChecks() == 0) ? 0 : EXIT_CHECK_FAILED;
		}
	}

	private static SiteSettings settings() {
		return SiteSettings.SMALL.withNames(new SiteNames("demo", "entry"))
			.withDaemons(DAEMONS)
			.withUpstreams(List.of(new UpstreamGroup("cuptor", 6), new UpstreamGroup("cairn-llm", 8)),
					List.of(new UpstreamGroup("ghiseu", 4), new UpstreamGroup("ledger-app", 4)));
	}

	private static void printAddresses(PrintStream output, Site site) {
		for (DaemonInstance daemon : site.daemons()) {
			output.println(daemon.host() + ": callers http:/" + daemon.callerAddress() + " operators http:/"
					+ daemon.operatorAddress());
		}
		for (DemoDeployment deployment : DemoDeployment.all()) {
			output.println(deployment.account() + ": API key " + deployment.apiKey() + ", model " + deployment.model()
					+ ", bookings at " + deployment.bookingPath() + ", lookups below " + deployment.lookUpPath());
		}
		output.println("Running until it is interrupted");
	}

	private enum DemoMode {

		ONCE, KEEP_RUNNING

	}

}
