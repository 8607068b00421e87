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
 * Holds the command line of the load tool. Immutable.
 *
 * @param scenarios the scenario files
 * @param policies the names of the policies
 * @param seeds the seeds
 * @param daemons the daemons that run already; empty to start them
 * @param leftOut the classes to leave out
 * @param faults whether the faults of the scenario take place
 * @param json the file for the reports as JSON
 * @param trace the file for one line a request, as comma-separated values
 * @param commit the commit of the code
 */
record LoadOptions(List<Path> scenarios, List<String> policies, List<Long> seeds, List<InetSocketAddress> daemons,
		List<String> leftOut, boolean faults, @Nullable Path json, @Nullable Path trace, String commit) {

	static Options describe() {
		return new Options().addOption(option("scenario", "FILE[,FILE]", "the scenarios, in YAML"))
			.addOption(option("policies", "NAME[,NAME]", "the policies, default tiers,baseline"))
			.addOption(option("seeds", "NUMBER[,NUMBER]", "the seeds, default 1"))
			.addOption(option("daemons", "ADDRESS:PORT[,...]", "daemons that run already; without it all is started"))
			.addOption(option("without", "CLASS[,CLASS]", "classes to leave out"))
			.addOption(Option.builder().longOpt("no-faults").desc("leave out the faults").get())
			.addOption(option("json", "FILE", "write the reports as JSON"))
			.addOption(option("trace", "FILE", "write one line a request of the last run, as CSV"))
			.addOption(option("commit", "NAME", "the commit to name in the reports"))
			.addOption(Option.builder("h").longOpt("help").desc("print this help").get());
	}

	static LoadOptions read(CommandLine line) {
		return new LoadOptions(split(line.getOptionValue("scenario")).stream().map(Path::of).toList(),
				split(line.getOptionValue("policies", "tiers,baseline")),
				split(line.getOptionValue("seeds", "1")).stream().map(Long::valueOf).toList(),
				split(line.getOptionValue("daemons", "")).stream().map(LoadOptions::address).toList(),
				split(line.getOptionValue("without", "")), !line.hasOption("no-faults"),
				line.hasOption("json") ? Path.of(line.getOptionValue("json")) : null,
				line.hasOption("trace") ? Path.of(line.getOptionValue("trace")) : null,
				line.getOptionValue("commit", "unknown"));
	}

	private static List<String> split(String text) {
		return Arrays.stream(text.split(",")).filter((part) -> !part.isBlank()).toList();
	}

	private static InetSocketAddress address(String text) {
		int colon = text.lastIndexOf(':');
		if (colon < 0) {
			throw new IllegalArgumentException("not ADDRESS:PORT: " + text);
		}
		return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
	}

	private static Option option(String name, String argument, String description) {
		return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get();
	}

}
