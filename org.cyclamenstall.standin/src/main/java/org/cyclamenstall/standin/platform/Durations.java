package org.cyclamenstall.standin.platform;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.jspecify.annotations.Nullable;

/**
 * Parses the wait times of blocking queries, such as {@code 10s}.
 */
final class Durations {

	// The default of Consul.
	private static final long DEFAULT_WAIT_MILLIS = 300_000;

	private static final Pattern DURATION = Pattern.compile("([0-9]+)(ms|s|m)");

	private Durations() {
	}

	static long parseMillis(@Nullable String text) {
		if (text == null) {
			return DEFAULT_WAIT_MILLIS;
		}
		Matcher matcher = DURATION.matcher(text);
		if (!matcher.matches()) {
			throw new IllegalArgumentException("invalid duration: " + text);
		}
		long amount = Long.parseLong(matcher.group(1));
		return switch (matcher.group(2)) {
			case "ms" -> amount;
			case "s" -> amount * 1_000;
			default -> amount * 60_000;
		};
	}

}
