package org.cyclamenstall.junit;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.internal.policy.Decision;
import org.cyclamenstall.internal.policy.JsonDecisionLog;
import org.jspecify.annotations.Nullable;

/**
 * Checks the decision log of a run. A request that is shed or preempted must be of a
 * lower tier than the request favoured by the decision, and of the lowest tier present. A
 * request must not be refused because of a full queue if it is of the highest tier or a
 * lower tier is present. Also records the longest wait for a slot of each tier. Not
 * thread-safe.
 */
public final class DecisionLogCheck {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final List<String> violations = new ArrayList<>();

	private final Map<Tier, Long> longestWaitNanos = new EnumMap<>(Tier.class);

	/**
	 * Checks the decisions of one controller.
	 * @param decisions the decisions, in order
	 * @return the result of the check
	 */
	public static DecisionLogCheck of(List<Decision> decisions) {
		return ofLines(decisions.stream().map(JsonDecisionLog::format).toList());
	}

	/**
	 * Checks lines written by the logger {@link JsonDecisionLog#LOGGER_NAME}.
	 * @param lines the lines, each a JSON object
	 * @return the result of the check
	 */
	public static DecisionLogCheck ofLines(List<String> lines) {
		DecisionLogCheck result = new DecisionLogCheck();
		lines.forEach(result::checkLine);
		return result;
	}

	/**
	 * Returns the violations found in the log.
	 * @return one message per violation, consisting of the violated rule and the log line
	 */
	public List<String> violations() {
		return List.copyOf(this.violations);
	}

	/**
	 * Returns the longest time from the arrival of a request to its first slot.
	 * @param tier the tier
	 * @return the time in nanoseconds, or zero if no request of the tier was granted a
	 * slot
	 */
	public long longestWaitNanos(Tier tier) {
		return this.longestWaitNanos.getOrDefault(tier, 0L);
	}

	private void checkLine(String line) {
		JsonNode decision = parse(line);
		String type = decision.path("decision").asText();
		Tier tier = tier(decision, "tier");
		if (tier == null) {
			this.violations.add("decision without a tier: " + line);
			return;
		}
		switch (type) {
			case "shed", "preempted" -> checkVictim(line, decision, tier);
			case "refused" -> checkRefusal(line, decision, tier);
			case "granted", "granted-by-age" ->
				this.longestWaitNanos.merge(tier, decision.path("waited_nanos").asLong(), Math::max);
			default -> {
			}
		}
	}

	private void checkVictim(String line, JsonNode decision, Tier tier) {
		Tier favouredTier = tier(decision, "favoured_tier");
		if (favouredTier == null || !favouredTier.isAbove(tier)) {
			this.violations.add("shed or preempted request was not displaced by a higher tier: " + line);
		}
		Tier lowestTier = tier(decision, "lowest_tier_present");
		if (lowestTier == null || tier.isAbove(lowestTier)) {
			this.violations.add("shed or preempted request is not of the lowest tier present: " + line);
		}
	}

	private void checkRefusal(String line, JsonNode decision, Tier tier) {
		if (!decision.path("refusal").asText().equals("queue-full")) {
			return;
		}
		Tier lowestTier = tier(decision, "lowest_tier_present");
		if (tier == Tier.INTERACTIVE || (lowestTier != null && tier.isAbove(lowestTier))) {
			this.violations.add("refused for a full queue although of the highest tier or above a lower tier: " + line);
		}
	}

	private static @Nullable Tier tier(JsonNode decision, String field) {
		JsonNode label = decision.get(field);
		return (label != null) ? Tier.valueOf(label.asText().toUpperCase(Locale.ROOT)) : null;
	}

	private static JsonNode parse(String line) {
		try {
			return MAPPER.readTree(line);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot parse decision log line: " + line, ex);
		}
	}

}
