package org.cyclamenstall.internal.policy;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.catalogue.Tier;
import org.jspecify.annotations.Nullable;

/**
 * Logs decisions as JSON to the logger {@link #LOGGER_NAME} at debug level. Immutable.
 */
public final class JsonDecisionLog implements DecisionLog {

	/** Name of the logger that decisions are written to. */
	public static final String LOGGER_NAME = "org.cyclamenstall.decisions";

	private static final Logger logger = LogManager.getLogger(LOGGER_NAME);

	@Override
	public void record(Decision decision) {
		if (logger.isDebugEnabled()) {
			logger.debug(format(decision));
		}
	}

	/**
	 * Formats a decision as a single-line JSON object.
	 * @param decision the decision
	 * @return the JSON text
	 */
	public static String format(Decision decision) {
		StringBuilder line = new StringBuilder("{\"at_nanos\":").append(decision.atNanos());
		append(line, "request", decision.requestId());
		append(line, "decision", decision.type().label());
		append(line, "tier", decision.tier().label());
		append(line, "favoured_tier", label(decision.favouredTier()));
		append(line, "lowest_tier_present", label(decision.lowestTierPresent()));
		append(line, "upstream", decision.upstream());
		append(line, "refusal", (decision.refusal() != null) ? decision.refusal().code() : null);
		return line.append(",\"waited_nanos\":").append(decision.waitedNanos()).append('}').toString();
	}

	private static void append(StringBuilder line, String name, @Nullable String value) {
		if (value != null) {
			line.append(",\"").append(name).append("\":\"").append(value).append('"');
		}
	}

	private static @Nullable String label(@Nullable Tier tier) {
		return (tier != null) ? tier.label() : null;
	}

}
