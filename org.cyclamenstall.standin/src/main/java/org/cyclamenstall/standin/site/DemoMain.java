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
 * Shows a whole deployment on one machine: starts stand-ins and daemons, writes catalogue
 * entries and sends one request of each kind. With {@code --once} it then ends everything
 * that it started, and its exit code is 0 only if each answer was right.
 */
public final class DemoMain {

	private static final int DAEMONS = 5;

	private static final int WRONG_ANSWER = 1;

	private static final int USAGE = 2;

	private static final Option ONCE = Option.builder()
		.longOpt("once")
		.desc("end everything after the requests; exit code 0 if each answer was right")
		.get();

	private static final Option EXAMPLES = Option.builder()
		.longOpt("examples")
		.hasArg()
		.argName("DIRECTORY")
		.desc("the example catalogues; by default those of the working directory")
		.get();

	private static final Option HELP = Option.builder("h").longOpt("help").desc("print this help").get();

	private DemoMain() {
	}

	/**
	 * Runs the demonstration.
	 * @param arguments the command line
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
			System.exit(run(output, examples, line.hasOption(ONCE) ? DemoMode.ONCE : DemoMode.STAY));
		}
		catch (ParseException ex) {
			System.err.println("cyclamenstall-demo: usage: " + ex.getMessage());
			System.exit(USAGE);
		}
	}

	private static int run(PrintStream output, Path examples, DemoMode mode) throws InterruptedException {
		output.println("Starting the stand-ins and " + DAEMONS + " daemons");
		try (Site site = new SiteLauncher(settings()).call()) {
			DemoRequests requests = new DemoRequests(site, output);
			DemoDeployment.all().forEach((deployment) -> deployment.putEntries(site, examples));
			DemoDeployment.all().forEach(requests::send);
			output.println(requests.wrongAnswers() + " wrong answers");
			if (mode == DemoMode.STAY) {
				printAddresses(output, site);
				new CountDownLatch(1).await();
			}
			return (requests.wrongAnswers() == 0) ? 0 : WRONG_ANSWER;
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
			output.println(daemon.host() + ": callers http:/" + daemon.callers() + " operators http:/"
					+ daemon.operatorsAddress());
		}
		for (DemoDeployment deployment : DemoDeployment.all()) {
			output.println(deployment.account() + ": API key " + deployment.apiKey() + ", model " + deployment.model()
					+ ", bookings below " + deployment.bookingPath() + ", lookups below " + deployment.lookUpPath());
		}
		output.println("Running until it is interrupted");
	}

	private enum DemoMode {

		ONCE, STAY

	}

}
