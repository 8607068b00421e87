package org.cyclamenstall.pgm.command;

import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Lists the daemons known to one daemon, with their catalogue revisions. Stateless.
 */
final class HostsCommand implements Subcommand {

	@Override
	public String name() {
		return "hosts";
	}

	@Override
	public String summary() {
		return "List the daemons known to the daemon, with their catalogue revisions.";
	}

	@Override
	public void run(CommandContext context) {
		context.requireNoArguments();
		try (OperatorClient client = OperatorClient.create(context.commandLine())) {
			JsonNode response = client.get("/v1/hosts");
			if (context.format() == OutputFormat.JSON) {
				context.output().println(response);
				return;
			}
			TablePrinter table = new TablePrinter("HOST", "STATE", "FAILURE DOMAIN", "PEER ADDRESS", "REVISION");
			for (JsonNode host : response.path("hosts")) {
				table.add(host.path("host").asText(), host.path("state").asText().toLowerCase(Locale.ROOT),
						host.path("failureDomain").asText(),
						host.path("address").asText() + ":" + host.path("port").asInt(),
						host.path("catalogueRevision").asLong());
			}
			table.print(context.output());
		}
	}

}
