package org.cyclamenstall.standin.load;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.internal.yaml.CheckedYamlReader;
import org.cyclamenstall.standin.http.Json;

/**
 * Sends the load of scenarios to daemons, once for each policy and seed, and reports the
 * results as seen by callers. The exit code is 0 after all runs and 2 for an invalid
 * command line or scenario.
 */
public final class LoadMain {

	private static final int EXIT_USAGE = 2;

	private final LoadOptions options;

	private final PrintStream output;

	private final List<RunReport> reports = new ArrayList<>();

	private LoadMain(LoadOptions options, PrintStream output) {
		this.options = options;
		this.output = output;
	}

	/**
	 * Runs the load tool.
	 * @param arguments the command-line arguments
	 * @throws IOException if the reports cannot be written
	 */
	public static void main(String[] arguments) throws IOException {
		PrintStream output = new PrintStream(System.out, true, StandardCharsets.UTF_8);
		Options supported = LoadOptions.createOptions();
		try {
			CommandLine line = new DefaultParser().parse(supported, arguments);
			if (line.hasOption("help") || !line.hasOption("scenario")) {
				HelpFormatter.builder()
					.setShowSince(false)
					.get()
					.printHelp("cyclamenstall-load", "", supported, "", true);
				System.exit(line.hasOption("help") ? 0 : EXIT_USAGE);
			}
			new LoadMain(LoadOptions.parse(line), output).run();
			System.exit(0);
		}
		catch (ParseException | RouterException | IllegalArgumentException ex) {
			System.err.println("cyclamenstall-load: " + ex.getMessage());
			System.exit(EXIT_USAGE);
		}
	}

	private void run() throws IOException {
		CheckedYamlReader reader = new CheckedYamlReader(ErrorKind.SETTINGS_INVALID);
		for (Path file : this.options.scenarios()) {
			Scenario configured = reader.read(file, Scenario.class);
			Scenario scenario = this.options.withFaults() ? configured : configured.withoutFaults();
			Deployment base = reader.read(file.resolveSibling(scenario.deployment()), Deployment.class);
			Deployment deployment = scenario.apply(base, this.options.excludedClasses());
			for (long seed : this.options.seeds()) {
				for (String policy : this.options.policies()) {
					run(scenario, deployment, policy, seed);
				}
			}
		}
	}

	private void run(Scenario scenario, Deployment deployment, String policy, long seed) throws IOException {
		List<Arrival> arrivals = new ArrivalPlan(scenario, deployment, seed).generate();
		try (LoadTarget target = createTarget(scenario, deployment, policy)) {
			LoadRun.LoadResult result = new LoadRun(scenario, deployment, arrivals, target, policy + "-" + seed)
				.execute();
			RunReport report = RunReport.of(scenario, deployment, policy, seed, this.options.commit(), result);
			new ReportTable(this.output).print(report);
			this.reports.add(report);
			writeTrace(result);
		}
		if (this.options.json() != null) {
			Files.write(this.options.json(), Json.write(this.reports));
		}
	}

	private void writeTrace(LoadRun.LoadResult result) throws IOException {
		if (this.options.trace() != null) {
			Files.write(this.options.trace(), RequestTrace.lines(result.requests()));
		}
	}

	private LoadTarget createTarget(Scenario scenario, Deployment deployment, String policy) {
		if (!this.options.daemons().isEmpty()) {
			return new ExternalTarget(this.options.daemons());
		}
		EmbeddedTarget target = new EmbeddedTarget(deployment, NamedPolicies.find(policy, scenario, deployment));
		Runtime.getRuntime().addShutdownHook(new Thread(target::close, "load-shutdown"));
		return target;
	}

}
