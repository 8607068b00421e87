package org.cyclamenstall.settings;

import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;

/**
 * Settings of the logs. Immutable.
 *
 * @param format {@code json} for one JSON object per line, or {@code console} for plain
 * text
 * @param level the lowest level that is logged
 */
public record LogSettings(@NotNull @Pattern(regexp = "json|console") String format,
		@NotNull @Pattern(regexp = "error|warn|info|debug|trace") String level) {

	/** The default settings. */
	public static final LogSettings DEFAULTS = new LogSettings(null, null);

	/**
	 * Replaces components that are {@code null} by their defaults.
	 */
	public LogSettings {
		format = (format != null) ? format : "json";
		level = (level != null) ? level : "info";
	}

}
