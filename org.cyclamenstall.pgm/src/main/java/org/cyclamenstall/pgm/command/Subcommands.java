package org.cyclamenstall.pgm.command;

import java.util.List;
import java.util.Optional;

/**
 * Lists the sub-commands. Immutable.
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
	 * @return the sub-commands in the order of the help
	 */
	public static List<Subcommand> all() {
		return ALL;
	}

	/**
	 * Finds the sub-command that a command line begins with.
	 * @param arguments the command line
	 * @return the sub-command, or empty if there is none
	 */
	public static Optional<Subcommand> find(List<String> arguments) {
		String text = String.join(" ", arguments) + " ";
		return ALL.stream().filter((subcommand) -> text.startsWith(subcommand.name() + " ")).findFirst();
	}

}
