package org.cyclamenstall.pgm.command;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;

/**
 * Prints the events of one request, collected from the logs of any number of hosts and
 * sorted by time. Text before the JSON object of a line is ignored. Stateless.
 */
final class ExplainCommand implements Subcommand {

	private static final JsonMapper mapper = JsonMapper.builder().build();

	@Override
	public String name() {
		return "explain";
	}

	@Override
	public String arguments() {
		return "REQUEST-ID [FILE...]";
	}

	@Override
	public String summary() {
		return "Print the events of a request in order, from log files or from standard input.";
	}

	@Override
	public void run(CommandContext context) {
		List<String> arguments = context.arguments();
		if (arguments.isEmpty()) {
			throw new RouterException(ErrorKind.USAGE, "expected a REQUEST-ID");
		}
		List<JsonNode> events = new ArrayList<>();
		if (arguments.size() == 1) {
			collect(new InputStreamReader(context.input(), StandardCharsets.UTF_8), arguments.get(0), events);
		}
		for (String file : arguments.subList(1, arguments.size())) {
			collect(open(file), arguments.get(0), events);
		}
		if (events.isEmpty()) {
			throw new RouterException(ErrorKind.USAGE, "no event found for request " + arguments.get(0));
		}
		events.sort(Comparator.comparing((event) -> event.path("time").asText()));
		events.forEach((event) -> context.output().println(format(event)));
	}

	private static InputStreamReader open(String file) {
		try {
			return new InputStreamReader(Files.newInputStream(Path.of(file)), StandardCharsets.UTF_8);
		}
		catch (IOException ex) {
			throw new RouterException(ErrorKind.USAGE, "cannot read " + file, ex);
		}
	}

	private static void collect(InputStreamReader source, String requestId, List<JsonNode> events) {
		try (Stream<String> lines = new BufferedReader(source).lines()) {
			lines.filter((line) -> line.contains(requestId)).forEach((line) -> {
				JsonNode event = parse(line);
				if (event.path("request").asText().equals(requestId)) {
					events.add(event);
				}
			});
		}
	}

	// Logs also contain lines that are not events; an empty object is returned for them.
	private static JsonNode parse(String line) {
		try {
			return mapper.readTree(line.substring(Math.max(0, line.indexOf('{'))));
		}
		catch (JsonProcessingException ex) {
			return mapper.createObjectNode();
		}
	}

	private static String format(JsonNode event) {
		StringBuilder line = new StringBuilder(event.path("time").asText()).append("  ")
			.append(event.path("event").asText());
		event.properties().forEach((field) -> {
			if (!List.of("time", "event", "request").contains(field.getKey())) {
				line.append("  ").append(field.getKey()).append('=').append(field.getValue().asText());
			}
		});
		return line.toString();
	}

}
