package org.cyclamenstall.pgm.command;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Lists the active catalogue entries of a daemon. Stateless.
 */
final class CatalogueListCommand implements Subcommand {

	@Override
	public String name() {
		return "catalogue list";
	}

	@Override
	public String summary() {
		return "List the active catalogue entries of the daemon.";
	}

	@Override
	public void run(CommandContext context) {
		context.requireNoArguments();
		try (OperatorClient client = OperatorClient.create(context.commandLine())) {
			JsonNode response = client.get("/v1/catalogue");
			if (context.format() == OutputFormat.JSON) {
				context.output().println(response);
				return;
			}
			TablePrinter table = new TablePrinter("NAME", "KIND", "CLASS", "OWNER", "REVISION");
			for (JsonNode row : response.path("entries")) {
				JsonNode entry = row.path("entry");
				table.add(row.path("name").asText(), entry.path("kind").asText(), entry.path("class").asText(),
						entry.path("owner").asText(), row.path("revision").asLong());
			}
			table.print(context.output());
		}
	}

}
