package org.cyclamenstall.pgm.command;

import java.util.List;
import java.util.Optional;

/**
 * Registry of the sub-commands. Immutable.
 */
public final class Subcommands {

	private static final List<Subcommand> ALL = List.of(new CatalogueListCommand(), new CatalogueShowCommand(),
			new CataloguePutCommand(), new CatalogueDeleteCommand(), new CatalogueHistoryCommand(), new StatusCommand(),
			new HostsCommand(), new UpstreamsCommand(), new SettingsCheckCommand(), new KeyHashCommand(),
			new ExplainCommand());

	private Subcommands() {
	}

	/**
	 * Returns all sub-commands.
	 * @return the sub-commands in the order in which the help lists them
	 */
	public static List<Subcommand> all() {
		return ALL;
	}

	/**
	 * Finds the sub-command whose name is at the start of the arguments.
	 * @param arguments the command-line arguments
	 * @return the sub-command, or empty if none matches
	 */
	public static Optional<Subcommand> find(List<String> arguments) {
		String joined = String.join(" ", arguments) + " ";
		return ALL.stream().filter((subcommand) -> joined.startsWith(subcommand.name() + " ")).findFirst();
	}

}
