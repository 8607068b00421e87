package org.cyclamenstall.pgm.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;

/**
 * Shows one entry in the form that {@link CataloguePutCommand} takes. Has no state.
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
		String name = context.onlyArgument("the NAME of an entry");
		try (OperatorClient client = OperatorClient.create(context.line())) {
			JsonNode answer = client.get("/v1/catalogue/" + OperatorClient.encode(name));
			if (context.format() == OutputFormat.JSON) {
				context.output().println(answer);
				return;
			}
			context.output()
				.println("# revision " + answer.path("revision").asLong() + ", written by "
						+ answer.path("operator").asText());
			context.output().print(yaml(answer.path("entry")));
		}
	}

	private static String yaml(JsonNode entry) {
		try {
			return YAMLMapper.builder()
				.disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER)
				.enable(YAMLGenerator.Feature.MINIMIZE_QUOTES)
				.build()
				.writeValueAsString(entry);
		}
		catch (JsonProcessingException ex) {
			throw new RouterException(ErrorKind.INTERNAL, "the entry cannot be written as YAML", ex);
		}
	}

}
