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
 * Sends the load of scenarios to daemons, for each policy and seed, and reports what the
 * callers saw. Exit code 0 once all runs were made, 2 for a wrong command line or
 * scenario.
 */
public final class LoadMain {

	private static final int USAGE_ERROR = 2;

	private final LoadOptions options;

	private final PrintStream output;

	private final List<RunReport> reports = new ArrayList<>();

	private LoadMain(LoadOptions options, PrintStream output) {
		this.options = options;
		this.output = output;
	}

	/**
	 * Runs the program.
	 * @param arguments the command line
	 * @throws IOException if the reports cannot be written
	 */
	public static void main(String[] arguments) throws IOException {
		PrintStream output = new PrintStream(System.out, true, StandardCharsets.UTF_8);
		Options known = LoadOptions.describe();
		try {
			CommandLine line = new DefaultParser().parse(known, arguments);
			if (line.hasOption("help") || !line.hasOption("scenario")) {
				HelpFormatter.builder().setShowSince(false).get().printHelp("cyclamenstall-load", "", known, "", true);
				System.exit(line.hasOption("help") ? 0 : USAGE_ERROR);
			}
			new LoadMain(LoadOptions.read(line), output).run();
			System.exit(0);
		}
		catch (ParseException | RouterException | IllegalArgumentException ex) {
			System.err.println("cyclamenstall-load: " + ex.getMessage());
			System.exit(USAGE_ERROR);
		}
	}

	private void run() throws IOException {
		CheckedYamlReader reader = new CheckedYamlReader(ErrorKind.SETTINGS_INVALID);
		for (Path file : this.options.scenarios()) {
			Scenario written = reader.read(file, Scenario.class);
			Scenario scenario = this.options.faults() ? written : written.withoutFaults();
			Deployment usual = reader.read(file.resolveSibling(scenario.deployment()), Deployment.class);
			Deployment deployment = scenario.apply(usual, this.options.leftOut());
			for (long seed : this.options.seeds()) {
				for (String policy : this.options.policies()) {
					run(scenario, deployment, policy, seed);
				}
			}
		}
	}

	private void run(Scenario scenario, Deployment deployment, String policy, long seed) throws IOException {
		List<Arrival> arrivals = new ArrivalPlan(scenario, deployment, seed).draw();
		try (LoadTarget target = target(scenario, deployment, policy)) {
			LoadRun.LoadResult result = new LoadRun(scenario, deployment, arrivals, target, policy + "-" + seed).call();
			RunReport report = RunReport.of(scenario, deployment, policy, seed, this.options.commit(), result);
			new ReportTable(this.output).print(report);
			this.reports.add(report);
			trace(result);
		}
		if (this.options.json() != null) {
			Files.write(this.options.json(), Json.write(this.reports));
		}
	}

	private void trace(LoadRun.LoadResult result) throws IOException {
		if (this.options.trace() != null) {
			Files.write(this.options.trace(), RequestTrace.lines(result.requests()));
		}
	}

	private LoadTarget target(Scenario scenario, Deployment deployment, String policy) {
		if (!this.options.daemons().isEmpty()) {
			return new GivenTarget(this.options.daemons());
		}
		EmbeddedTarget target = new EmbeddedTarget(deployment, NamedPolicies.find(policy, scenario, deployment));
		Runtime.getRuntime().addShutdownHook(new Thread(target::close, "load-shutdown"));
		return target;
	}

}
