package org.cyclamenstall.pgm.command;

import java.nio.file.Path;

import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.internal.yaml.CheckedYamlReader;
import org.cyclamenstall.settings.DaemonSettings;

/**
 * Validates a daemon settings file without calling a daemon. Stateless.
 */
final class SettingsCheckCommand implements Subcommand {

	@Override
	public String name() {
		return "settings check";
	}

	@Override
	public String arguments() {
		return "FILE";
	}

	@Override
	public String summary() {
		return "Validate a daemon settings file; does not connect to a daemon.";
	}

	@Override
	public void run(CommandContext context) {
		String file = context.singleArgument("a settings FILE");
		DaemonSettings settings = new CheckedYamlReader(ErrorKind.SETTINGS_INVALID).read(Path.of(file),
				DaemonSettings.class);
		context.output().println(file + ": the settings of host " + settings.host() + " are valid");
	}

}
