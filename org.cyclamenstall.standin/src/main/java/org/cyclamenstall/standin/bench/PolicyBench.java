package org.cyclamenstall.standin.bench;

import java.io.PrintStream;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.cyclamenstall.settings.PolicySettings;

/**
 * Compares the policies with their baselines in simulated trials, or measures the cost of
 * decisions.
 */
public final class PolicyBench {

	private static final PolicySettings BASELINE = new PolicySettings("fifo", "round-robin", "fixed", "even", "none",
			"none", null, null, null, null, null, null, null);

	private final PrintStream out;

	private PolicyBench(PrintStream out) {
		this.out = out;
	}

	/**
	 * Runs the benchmark.
	 * @param arguments the command line options
	 * @throws ParseException if an option is invalid
	 */
	public static void main(String[] arguments) throws ParseException {
		Options options = new Options();
		options.addOption(null, "cost", false, "measure the cost of decisions");
		options.addOption(null, "scenarios", true, "comma-separated scenarios");
		options.addOption(null, "seeds", true, "comma-separated seeds");
		options.addOption(null, "hosts", true, "number of daemons (default: 5)");
		CommandLine line = new DefaultParser().parse(options, arguments);
		PolicyBench bench = new PolicyBench(System.out);
		if (line.hasOption("cost")) {
			new DecisionBenchmark(System.out).run();
			return;
		}
		String scenarios = line.getOptionValue("scenarios", "steady,short-only,crest,unslowed,slowed,all-slow");
		for (String scenario : scenarios.split(",")) {
			for (String seed : line.getOptionValue("seeds", "1,2,3").split(",")) {
				int hosts = Integer.parseInt(line.getOptionValue("hosts", "5"));
				bench.compare(TrialScenario.forName(scenario).withHosts(hosts), Long.parseLong(seed));
			}
		}
	}

	private void compare(TrialScenario scenario, long seed) {
		for (PolicySettings settings : List.of(BASELINE, PolicySettings.DEFAULTS)) {
			Trial trial = new Trial(scenario, settings, seed);
			TrialResult result = trial.run();
			String policy = settings.equals(BASELINE) ? "baseline" : "policy";
			this.out
				.println(result.formatLine(scenario.name(), policy, seed, trial.generatedTokens(), scenario.seconds()));
		}
	}

}
