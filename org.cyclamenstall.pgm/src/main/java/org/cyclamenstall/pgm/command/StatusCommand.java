package org.cyclamenstall.pgm.command;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Shows the state of a daemon. Has no state.
 */
final class StatusCommand implements Subcommand {

	@Override
	public String name() {
		return "status";
	}

	@Override
	public String summary() {
		return "Show the state of the daemon.";
	}

	@Override
	public void run(CommandContext context) {
		context.noArguments();
		try (OperatorClient client = OperatorClient.create(context.line())) {
			JsonNode answer = client.get("/v1/status");
			if (context.format() == OutputFormat.JSON) {
				context.output().println(answer);
				return;
			}
			TablePrinter table = new TablePrinter("FIELD", "VALUE");
			answer.fields().forEachRemaining((field) -> table.add(field.getKey(), field.getValue().asText()));
			table.print(context.output());
		}
	}

}
