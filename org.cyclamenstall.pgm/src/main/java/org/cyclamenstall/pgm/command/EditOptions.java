package org.cyclamenstall.pgm.command;

import java.util.UUID;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;

/**
 * Options and output shared by the sub-commands that edit the catalogue. Stateless.
 */
final class EditOptions {

	private static final String EXPECTED_REVISION = "expected-revision";

	private static final String EDIT_ID = "edit-id";

	private static final String WAIT_SECONDS = "wait-seconds";

	private static final long DEFAULT_WAIT_SECONDS = 5;

	private static final long MAXIMUM_WAIT_SECONDS = 15;

	private EditOptions() {
	}

	static Options options() {
		return new Options()
			.addOption(Option.builder()
				.longOpt(EXPECTED_REVISION)
				.hasArg()
				.argName("N")
				.desc("refuse the edit unless the entry is at this revision; 0 means that it does not exist")
				.get())
			.addOption(Option.builder()
				.longOpt(EDIT_ID)
				.hasArg()
				.argName("ID")
				.desc("repeat an edit whose outcome is unknown; it takes effect once")
				.get())
			.addOption(Option.builder()
				.longOpt(WAIT_SECONDS)
				.hasArg()
				.argName("N")
				.desc("time to wait until the edit is active on all live hosts, in seconds (default 5, maximum 15)")
				.get());
	}

	/**
	 * Returns the query of an edit request. The daemon does not wait until the edit is
	 * active, because {@link #reportActivation} does so after the last edit.
	 * @param context the options of the invocation
	 * @return the query, starting with a question mark
	 */
	static String query(CommandContext context) {
		String expectedRevision = "";
		if (context.commandLine().hasOption(EXPECTED_REVISION)) {
			expectedRevision = "&expected-revision=" + context.nonNegativeOption(EXPECTED_REVISION, 0);
		}
		return "?wait-millis=0" + expectedRevision;
	}

	static boolean hasExpectedRevision(CommandContext context) {
		return context.commandLine().hasOption(EXPECTED_REVISION);
	}

	static String editId(CommandContext context) {
		String editId = context.commandLine().getOptionValue(EDIT_ID);
		return (editId != null) ? editId : UUID.randomUUID().toString();
	}

	static void reportAcceptance(CommandContext context, JsonNode accepted) {
		if (context.format() == OutputFormat.JSON) {
			context.output().println(accepted);
		}
		else {
			context.output()
				.println(accepted.path("name").asText() + ": accepted at revision "
						+ accepted.path("revision").asLong());
		}
		for (JsonNode warning : accepted.path("warnings")) {
			context.errors()
				.println("warning: " + accepted.path("name").asText() + ": " + warning.path("field").asText() + ": "
						+ warning.path("message").asText());
		}
	}

	/**
	 * Waits until a revision is active on all live hosts, at most for the time of the
	 * option {@code wait-seconds}, and prints on which hosts it is active.
	 * @param context the options and streams of the invocation
	 * @param client the client of the daemon to ask
	 * @param revision the revision
	 */
	static void reportActivation(CommandContext context, OperatorClient client, long revision) {
		long seconds = context.nonNegativeOption(WAIT_SECONDS, DEFAULT_WAIT_SECONDS);
		if (seconds > MAXIMUM_WAIT_SECONDS) {
			throw new RouterException(ErrorKind.USAGE, "--wait-seconds must be at most " + MAXIMUM_WAIT_SECONDS);
		}
		JsonNode response = client.get("/v1/in-force/" + revision + "?wait-millis=" + seconds * 1000);
		if (context.format() == OutputFormat.JSON) {
			context.output().println(response);
			return;
		}
		int active = response.path("inForce").size();
		int live = active + response.path("pending").size();
		StringBuilder text = new StringBuilder(
				"revision " + revision + ": in force on " + active + " of " + live + " live hosts");
		String separator = "; not yet known of: ";
		for (JsonNode host : response.path("pending")) {
			text.append(separator).append(host.asText());
			separator = ", ";
		}
		context.output().println(text);
	}

}
