package org.cyclamenstall.pgm.command;

import java.time.Instant;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Lists the edits of an entry. Has no state.
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
		return "List the edits of an entry that are kept, latest first.";
	}

	@Override
	public void run(CommandContext context) {
		String name = context.onlyArgument("the NAME of an entry");
		try (OperatorClient client = OperatorClient.create(context.line())) {
			JsonNode answer = client.get("/v1/catalogue/" + OperatorClient.encode(name) + "/history");
			if (context.format() == OutputFormat.JSON) {
				context.output().println(answer);
				return;
			}
			TablePrinter table = new TablePrinter("REVISION", "TIME", "OPERATOR", "EDIT", "ACTION");
			for (JsonNode edit : answer.path("edits")) {
				table.add(edit.path("revision").asLong(), Instant.ofEpochMilli(edit.path("writtenAtMillis").asLong()),
						edit.path("operator").asText(), edit.path("editId").asText(),
						edit.path("deleted").asBoolean() ? "delete" : "put");
			}
			table.print(context.output());
		}
	}

}
