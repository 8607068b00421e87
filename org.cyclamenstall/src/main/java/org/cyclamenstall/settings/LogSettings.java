package org.cyclamenstall.settings;

import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;

/**
 * Holds the form of the logs. Immutable.
 *
 * @param format {@code json} for one JSON object a line, or {@code console}
 * @param level the lowest level that is written
 */
public record LogSettings(@NotNull @Pattern(regexp = "json|console") String format,
		@NotNull @Pattern(regexp = "error|warn|info|debug|trace") String level) {

	/** Holds the default of every component. */
	public static final LogSettings DEFAULTS = new LogSettings(null, null);

	/**
	 * Fills in the defaults.
	 */
	public LogSettings {
		format = (format != null) ? format : "json";
		level = (level != null) ? level : "info";
	}

}
