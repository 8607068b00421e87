package org.cyclamenstall.pgm.command;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cyclamenstall.catalogue.CatalogueEntry;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.internal.catalogue.CatalogueValidator;
import org.cyclamenstall.internal.yaml.CheckedYamlReader;
import org.cyclamenstall.internal.yaml.InvalidYamlException;
import org.cyclamenstall.internal.yaml.YamlDocuments;
import org.cyclamenstall.internal.yaml.YamlProblem;

/**
 * Writes the entries of a YAML file to the catalogue, each as a separate edit. All
 * entries are validated locally before the first edit is sent. Stateless.
 */
final class CataloguePutCommand implements Subcommand {

	private static final String FILE = "file";

	@Override
	public String name() {
		return "catalogue put";
	}

	@Override
	public String summary() {
		return "Write the entries of a YAML file; several documents are separated by lines of ---.";
	}

	@Override
	public Options options() {
		return EditOptions.options()
			.addOption(Option.builder("f")
				.longOpt(FILE)
				.hasArg()
				.argName("FILE")
				.desc("YAML file with the catalogue entries")
				.get());
	}

	@Override
	public void run(CommandContext context) {
		context.requireNoArguments();
		String file = context.commandLine().getOptionValue(FILE);
		if (file == null) {
			throw new RouterException(ErrorKind.USAGE, "-f FILE is required; see --help");
		}
		CheckedYamlReader reader = new CheckedYamlReader(ErrorKind.CATALOGUE_INVALID);
		List<String> documents = YamlDocuments.split(reader.readText(Path.of(file)));
		List<CatalogueEntry> entries = documents.stream()
			.map((document) -> reader.read(document, file, CatalogueEntry.class, CatalogueValidator::validate))
			.toList();
		if (entries.isEmpty()) {
			throw new RouterException(ErrorKind.CATALOGUE_INVALID, file + ":1: the file contains no document");
		}
		if (entries.size() > 1 && EditOptions.hasExpectedRevision(context)) {
			throw new RouterException(ErrorKind.USAGE, "--expected-revision requires a file with a single document");
		}
		String editId = EditOptions.editId(context);
		try (OperatorClient client = OperatorClient.create(context.commandLine())) {
			long revision = 0;
			for (int index = 0; index < entries.size(); index++) {
				String documentEditId = (entries.size() > 1) ? editId + "-" + (index + 1) : editId;
				JsonNode accepted = put(context, client, file, entries.get(index), documents.get(index),
						documentEditId);
				revision = Math.max(revision, accepted.path("revision").asLong());
				EditOptions.reportAcceptance(context, accepted);
			}
			EditOptions.reportActivation(context, client, revision);
		}
	}

	private static JsonNode put(CommandContext context, OperatorClient client, String file, CatalogueEntry entry,
			String document, String editId) {
		try {
			return client.edit("PUT",
					"/v1/catalogue/" + OperatorClient.urlEncode(entry.name()) + EditOptions.query(context), editId,
					document.getBytes(StandardCharsets.UTF_8));
		}
		catch (DaemonErrorException ex) {
			List<YamlProblem> problems = StreamSupport.stream(ex.error().path("problems").spliterator(), false)
				.map((problem) -> new YamlProblem(problem.path("line").asInt(1), problem.path("field").asText(),
						problem.path("message").asText()))
				.toList();
			if (problems.isEmpty()) {
				throw new RouterException(ex.kind(), entry.name() + ": " + ex.getMessage(), ex);
			}
			throw new InvalidYamlException(ex.kind(), file, problems);
		}
	}

}
