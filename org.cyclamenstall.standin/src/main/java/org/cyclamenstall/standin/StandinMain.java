package org.cyclamenstall.standin;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.internal.yaml.CheckedYamlReader;
import org.cyclamenstall.standin.http.Json;

/**
 * Runs stand-ins in their own process; called with {@code --settings FILE}. Prints one
 * line of JSON with their addresses once all are listening, and exits on a signal.
 */
public final class StandinMain {

	private static final int USAGE_ERROR = 2;

	private StandinMain() {
	}

	/**
	 * Starts the stand-ins and waits for a signal.
	 * @param arguments the command line arguments
	 * @throws InterruptedException if the main thread is interrupted
	 */
	public static void main(String[] arguments) throws InterruptedException {
		Options options = new Options().addOption(Option.builder("s")
			.longOpt("settings")
			.hasArg()
			.argName("FILE")
			.required()
			.desc("the stand-ins to start, in YAML")
			.get());
		try {
			CommandLine line = new DefaultParser().parse(options, arguments);
			run(Path.of(line.getOptionValue("settings")));
		}
		catch (ParseException | RouterException ex) {
			System.err.println("cyclamenstall-standin: " + ex.getMessage());
			System.exit(USAGE_ERROR);
		}
	}

	private static void run(Path file) throws InterruptedException {
		StandinSettings settings = new CheckedYamlReader(ErrorKind.SETTINGS_INVALID).read(file, StandinSettings.class);
		StandinGroup group = new StandinGroup(settings);
		Runtime.getRuntime().addShutdownHook(new Thread(group::close, "shutdown"));
		PrintStream output = new PrintStream(System.out, true, StandardCharsets.UTF_8);
		output.println(readyLine(group.members()));
		new CountDownLatch(1).await();
	}

	private static String readyLine(List<Standin> members) {
		Map<String, Object> line = new LinkedHashMap<>();
		line.put("ready", true);
		line.put("standins", members.stream().map(StandinMain::describe).toList());
		return new String(Json.write(line), StandardCharsets.UTF_8);
	}

	private static Map<String, Object> describe(Standin standin) {
		Map<String, Object> description = new LinkedHashMap<>();
		description.put("name", standin.name());
		description.put("address", standin.address());
		description.put("port", standin.port());
		description.put("controlPort", standin.controlPort());
		return description;
	}

}
