package org.cyclamenstall.pgm.command;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.cli.Options;

/**
 * Deletes a catalogue entry. Stateless.
 */
final class CatalogueDeleteCommand implements Subcommand {

	@Override
	public String name() {
		return "catalogue delete";
	}

	@Override
	public String arguments() {
		return "NAME";
	}

	@Override
	public String summary() {
		return "Delete an entry.";
	}

	@Override
	public Options options() {
		return EditOptions.options();
	}

	@Override
	public void run(CommandContext context) {
		String name = context.singleArgument("the NAME of an entry");
		try (OperatorClient client = OperatorClient.create(context.commandLine())) {
			JsonNode accepted = client.edit("DELETE",
					"/v1/catalogue/" + OperatorClient.urlEncode(name) + EditOptions.query(context),
					EditOptions.editId(context), new byte[0]);
			EditOptions.reportAcceptance(context, accepted);
			EditOptions.reportActivation(context, client, accepted.path("revision").asLong());
		}
	}

}
