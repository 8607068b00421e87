package org.cyclamenstall.junit;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.cyclamenstall.catalogue.Tier;
import org.jspecify.annotations.Nullable;

/**
 * Holds one decision of a daemon as its log tells it. Immutable.
 *
 * @param request the identifier of the request
 * @param type what was decided
 * @param tier the tier of the request
 * @param favouredTier the tier in whose favour it was dropped or preempted, if any
 * @param lowestTierPresent the lowest tier that could have been chosen instead, if any
 * @param refusal why it was refused, or an empty text
 */
public record LoggedDecision(String request, String type, Tier tier, @Nullable Tier favouredTier,
		@Nullable Tier lowestTierPresent, String refusal) {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final String START = "{\"at_nanos\"";

	/**
	 * Reads the decisions out of the log of a daemon.
	 * @param log the log
	 * @return the decisions in order
	 */
	public static List<LoggedDecision> read(String log) {
		return log.lines()
			.filter((line) -> line.contains(START))
			.map((line) -> parse(line.substring(line.indexOf(START))))
			.toList();
	}

	/**
	 * Tells whether the decision puts a request behind one of a lower or the same tier,
	 * or spares a lower one.
	 * @return {@code true} if the decision breaks the order of tiers
	 */
	public boolean breaksTierOrder() {
		if (!this.type.equals("shed") && !this.type.equals("preempted")) {
			return false;
		}
		boolean favouredIsHigher = this.favouredTier != null && this.favouredTier.isAbove(this.tier);
		boolean lowerWasPresent = this.lowestTierPresent != null && this.tier.isAbove(this.lowestTierPresent);
		return !favouredIsHigher || lowerWasPresent;
	}

	private static LoggedDecision parse(String json) {
		try {
			JsonNode node = MAPPER.readTree(json);
			return new LoggedDecision(node.path("request").asText(), node.path("decision").asText(),
					tier(node.path("tier").asText()), optionalTier(node, "favoured_tier"),
					optionalTier(node, "lowest_tier_present"), node.path("refusal").asText(""));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static @Nullable Tier optionalTier(JsonNode node, String field) {
		return node.has(field) ? tier(node.path(field).asText()) : null;
	}

	private static Tier tier(String label) {
		for (Tier tier : Tier.values()) {
			if (tier.label().equals(label)) {
				return tier;
			}
		}
		throw new IllegalArgumentException("No tier " + label);
	}

}
