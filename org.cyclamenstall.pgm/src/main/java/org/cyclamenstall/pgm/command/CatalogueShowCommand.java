package org.cyclamenstall.pgm.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;

/**
 * Prints a catalogue entry in the format that {@link CataloguePutCommand} accepts.
 * Stateless.
 */
final class CatalogueShowCommand implements Subcommand {

	@Override
	public String name() {
		return "catalogue show";
	}

	@Override
	public String arguments() {
		return "NAME";
	}

	@Override
	public String summary() {
		return "Show an entry as YAML, with its revision in a comment.";
	}

	@Override
	public void run(CommandContext context) {
		String name = context.singleArgument("the NAME of an entry");
		try (OperatorClient client = OperatorClient.create(context.commandLine())) {
			JsonNode response = client.get("/v1/catalogue/" + OperatorClient.urlEncode(name));
			if (context.format() == OutputFormat.JSON) {
				context.output().println(response);
				return;
			}
			context.output()
				.println("# revision " + response.path("revision").asLong() + ", written by "
						+ response.path("operator").asText());
			context.output().print(toYaml(response.path("entry")));
		}
	}

	private static String toYaml(JsonNode entry) {
		try {
			return YAMLMapper.builder()
				.disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER)
				.enable(YAMLGenerator.Feature.MINIMIZE_QUOTES)
				.build()
				.writeValueAsString(entry);
		}
		catch (JsonProcessingException ex) {
			throw new RouterException(ErrorKind.INTERNAL, "cannot convert the entry to YAML", ex);
		}
	}

}
