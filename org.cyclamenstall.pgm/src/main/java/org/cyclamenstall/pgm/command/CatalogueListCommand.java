package org.cyclamenstall.pgm.command;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Lists the entries in force on a daemon. Has no state.
 */
final class CatalogueListCommand implements Subcommand {

	@Override
	public String name() {
		return "catalogue list";
	}

	@Override
	public String summary() {
		return "List the entries in force on the daemon.";
	}

	@Override
	public void run(CommandContext context) {
		context.noArguments();
		try (OperatorClient client = OperatorClient.create(context.line())) {
			JsonNode answer = client.get("/v1/catalogue");
			if (context.format() == OutputFormat.JSON) {
				context.output().println(answer);
				return;
			}
			TablePrinter table = new TablePrinter("NAME", "KIND", "CLASS", "OWNER", "REVISION");
			for (JsonNode row : answer.path("entries")) {
				JsonNode entry = row.path("entry");
				table.add(row.path("name").asText(), entry.path("kind").asText(), entry.path("class").asText(),
						entry.path("owner").asText(), row.path("revision").asLong());
			}
			table.print(context.output());
		}
	}

}
