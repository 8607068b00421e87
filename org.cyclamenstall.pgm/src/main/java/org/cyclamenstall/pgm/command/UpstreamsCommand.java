package org.cyclamenstall.pgm.command;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Lists the upstreams and their state as seen by one daemon. Stateless.
 */
final class UpstreamsCommand implements Subcommand {

	@Override
	public String name() {
		return "upstreams";
	}

	@Override
	public String summary() {
		return "List the upstreams known to the daemon, with their states.";
	}

	@Override
	public void run(CommandContext context) {
		context.requireNoArguments();
		try (OperatorClient client = OperatorClient.create(context.commandLine())) {
			JsonNode response = client.get("/v1/upstreams");
			if (context.format() == OutputFormat.JSON) {
				context.output().println(response);
				return;
			}
			TablePrinter table = new TablePrinter("SERVICE", "HOST", "ADDRESS", "FAILURE DOMAIN", "STATE", "IN FLIGHT",
					"WINDOW", "FIRST TOKEN (S)");
			for (JsonNode row : response.path("upstreams")) {
				table.add(row.path("service").asText(), row.path("host").asText(), row.path("address").asText(),
						row.path("failureDomain").asText(), row.path("state").asText(), row.path("inFlight").asInt(),
						row.path("window").asInt(), row.path("firstTokenSeconds").asText("-"));
			}
			table.print(context.output());
		}
	}

}
