package org.cyclamenstall.pgm.command;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Prints the status of a daemon. Stateless.
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
		context.requireNoArguments();
		try (OperatorClient client = OperatorClient.create(context.commandLine())) {
			JsonNode response = client.get("/v1/status");
			if (context.format() == OutputFormat.JSON) {
				context.output().println(response);
				return;
			}
			TablePrinter table = new TablePrinter("FIELD", "VALUE");
			response.fields().forEachRemaining((field) -> table.add(field.getKey(), field.getValue().asText()));
			table.print(context.output());
		}
	}

}
