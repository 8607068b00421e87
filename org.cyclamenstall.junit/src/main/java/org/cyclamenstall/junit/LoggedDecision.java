package org.cyclamenstall.junit;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.cyclamenstall.catalogue.Tier;
import org.jspecify.annotations.Nullable;

/**
 * Represents one decision read from the decision log of a daemon. Immutable.
 *
 * @param request the identifier of the request
 * @param type the type of the decision, for example {@code shed}
 * @param tier the tier of the request
 * @param favouredTier the tier in whose favour the request was shed or preempted, or
 * {@code null}
 * @param lowestTierPresent the lowest tier among the requests that could have been chosen
 * instead, or {@code null}
 * @param refusal the reason of a refusal, or an empty string
 */
public record LoggedDecision(String request, String type, Tier tier, @Nullable Tier favouredTier,
		@Nullable Tier lowestTierPresent, String refusal) {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final String DECISION_PREFIX = "{\"at_nanos\"";

	/**
	 * Parses the decisions in the log of a daemon. Lines without a decision are skipped.
	 * @param log the log text
	 * @return the decisions, in order
	 */
	public static List<LoggedDecision> read(String log) {
		return log.lines()
			.filter((line) -> line.contains(DECISION_PREFIX))
			.map((line) -> parse(line.substring(line.indexOf(DECISION_PREFIX))))
			.toList();
	}

	/**
	 * Returns whether the decision violates the precedence of tiers: a request was shed
	 * or preempted for one that is not of a higher tier, or although a request of a lower
	 * tier was present.
	 * @return {@code true} if the decision violates the precedence of tiers
	 */
	public boolean violatesTierPrecedence() {
		if (!this.type.equals("shed") && !this.type.equals("preempted")) {
			return false;
		}
		boolean favouredTierIsHigher = this.favouredTier != null && this.favouredTier.isAbove(this.tier);
		boolean lowerTierWasPresent = this.lowestTierPresent != null && this.tier.isAbove(this.lowestTierPresent);
		return !favouredTierIsHigher || lowerTierWasPresent;
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
		throw new IllegalArgumentException("unknown tier: " + label);
	}

}
