package org.cyclamenstall.standin.load;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.jspecify.annotations.Nullable;

/**
 * The command-line options of the load tool. Immutable.
 *
 * @param scenarios the scenario files
 * @param policies the names of the policies to run, see {@link NamedPolicies}
 * @param seeds the seeds of the arrival plans; each scenario is run once for each policy
 * and seed
 * @param daemons the addresses of running daemons; empty to start an embedded deployment
 * @param excludedClasses the request classes to exclude
 * @param withFaults whether the scheduled faults of the scenario are injected
 * @param json the file to write the reports to as JSON; {@code null} for none
 * @param trace the file to write one line of comma-separated values per request to;
 * {@code null} for none
 * @param commit the commit to name in the reports
 */
record LoadOptions(List<Path> scenarios, List<String> policies, List<Long> seeds, List<InetSocketAddress> daemons,
		List<String> excludedClasses, boolean withFaults, @Nullable Path json, @Nullable Path trace, String commit) {

	static Options createOptions() {
		return new Options().addOption(option("scenario", "FILE[,FILE]", "the scenario files, in YAML"))
			.addOption(option("policies", "NAME[,NAME]",
					"the names of the policies to run each scenario with; default: tiers,baseline"))
			.addOption(option("seeds", "NUMBER[,NUMBER]",
					"the random seeds of the request arrivals, one run for each; default: 1"))
			.addOption(option("daemons", "ADDRESS:PORT[,...]",
					"the addresses of running daemons; default: start all daemons and stand-ins"))
			.addOption(option("without", "CLASS[,CLASS]", "the request classes to exclude"))
			.addOption(Option.builder().longOpt("no-faults").desc("do not inject the scheduled faults").get())
			.addOption(option("json", "FILE", "write the reports as JSON"))
			.addOption(option("trace", "FILE", "write one line per request of the last run, as CSV"))
			.addOption(option("commit", "NAME", "the commit to name in the reports"))
			.addOption(Option.builder("h").longOpt("help").desc("print this help").get());
	}

	static LoadOptions parse(CommandLine line) {
		return new LoadOptions(split(line.getOptionValue("scenario")).stream().map(Path::of).toList(),
				split(line.getOptionValue("policies", "tiers,baseline")),
				split(line.getOptionValue("seeds", "1")).stream().map(Long::valueOf).toList(),
				split(line.getOptionValue("daemons", "")).stream().map(LoadOptions::parseAddress).toList(),
				split(line.getOptionValue("without", "")), !line.hasOption("no-faults"),
				line.hasOption("json") ? Path.of(line.getOptionValue("json")) : null,
				line.hasOption("trace") ? Path.of(line.getOptionValue("trace")) : null,
				line.getOptionValue("commit", "unknown"));
	}

	private static List<String> split(String text) {
		return Arrays.stream(text.split(",")).filter((part) -> !part.isBlank()).toList();
	}

	private static InetSocketAddress parseAddress(String text) {
		int colon = text.lastIndexOf(':');
		if (colon < 0) {
			throw new IllegalArgumentException("expected ADDRESS:PORT but got " + text);
		}
		return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
	}

	private static Option option(String name, String argument, String description) {
		return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get();
	}

}
