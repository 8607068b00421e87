package org.cyclamenstall.pgm.command;

import java.time.Instant;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Lists the retained edits of a catalogue entry, latest first. Stateless.
 */
final class CatalogueHistoryCommand implements Subcommand {

	@Override
	public String name() {
		return "catalogue history";
	}

	@Override
	public String arguments() {
		return "NAME";
	}

	@Override
	public String summary() {
		return "List the retained edits of an entry, latest first.";
	}

	@Override
	public void run(CommandContext context) {
		String name = context.singleArgument("the NAME of an entry");
		try (OperatorClient client = OperatorClient.create(context.commandLine())) {
			JsonNode response = client.get("/v1/catalogue/" + OperatorClient.urlEncode(name) + "/history");
			if (context.format() == OutputFormat.JSON) {
				context.output().println(response);
				return;
			}
			TablePrinter table = new TablePrinter("REVISION", "TIME", "OPERATOR", "EDIT", "ACTION");
			for (JsonNode edit : response.path("edits")) {
				table.add(edit.path("revision").asLong(), Instant.ofEpochMilli(edit.path("writtenAtMillis").asLong()),
						edit.path("operator").asText(), edit.path("editId").asText(),
						edit.path("deleted").asBoolean() ? "delete" : "put");
			}
			table.print(context.output());
		}
	}

}
