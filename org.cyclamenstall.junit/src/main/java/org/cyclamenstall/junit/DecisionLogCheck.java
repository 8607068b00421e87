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
 * Checks the log of decisions after a run: whatever is dropped or preempted is of a lower
 * tier than the one in whose favour it happens and of the lowest tier present, and the
 * highest tier is never refused for a full queue. Keeps the longest wait for a slot of
 * each tier. Not thread-safe.
 */
public final class DecisionLogCheck {

	private static final ObjectMapper mapper = new ObjectMapper();

	private final List<String> violations = new ArrayList<>();

	private final Map<Tier, Long> longestWaitNanos = new EnumMap<>(Tier.class);

	/**
	 * Checks decisions.
	 * @param decisions the decisions of one controller
	 * @return the check
	 */
	public static DecisionLogCheck of(List<Decision> decisions) {
		return ofLines(decisions.stream().map(JsonDecisionLog::format).toList());
	}

	/**
	 * Checks the lines that the logger {@link JsonDecisionLog#LOGGER_NAME} wrote.
	 * @param lines the lines, each a JSON object
	 * @return the check
	 */
	public static DecisionLogCheck ofLines(List<String> lines) {
		DecisionLogCheck check = new DecisionLogCheck();
		lines.forEach(check::check);
		return check;
	}

	/**
	 * Returns the lines that break a rule.
	 * @return the lines, each with the rule
	 */
	public List<String> violations() {
		return List.copyOf(this.violations);
	}

	/**
	 * Returns the longest time from the arrival of a request to its first slot.
	 * @param tier the tier
	 * @return the time in nanoseconds, or zero if no request of the tier got a slot
	 */
	public long longestWaitNanos(Tier tier) {
		return this.longestWaitNanos.getOrDefault(tier, 0L);
	}

	private void check(String line) {
		JsonNode decision = read(line);
		String type = decision.path("decision").asText();
		Tier tier = tier(decision, "tier");
		if (tier == null) {
			this.violations.add("no tier: " + line);
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

	private void checkVictim(String line, JsonNode decision, Tier victim) {
		Tier favoured = tier(decision, "favoured_tier");
		if (favoured == null || !favoured.isAbove(victim)) {
			this.violations.add("not in favour of a higher tier: " + line);
		}
		Tier lowest = tier(decision, "lowest_tier_present");
		if (lowest == null || victim.isAbove(lowest)) {
			this.violations.add("not of the lowest tier present: " + line);
		}
	}

	private void checkRefusal(String line, JsonNode decision, Tier tier) {
		if (!decision.path("refusal").asText().equals("queue-full")) {
			return;
		}
		Tier lowest = tier(decision, "lowest_tier_present");
		if (tier == Tier.INTERACTIVE || (lowest != null && tier.isAbove(lowest))) {
			this.violations.add("refused for a full queue above a lower tier: " + line);
		}
	}

	private static @Nullable Tier tier(JsonNode decision, String field) {
		JsonNode label = decision.get(field);
		return (label != null) ? Tier.valueOf(label.asText().toUpperCase(Locale.ROOT)) : null;
	}

	private static JsonNode read(String line) {
		try {
			return mapper.readTree(line);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("Not a decision: " + line, ex);
		}
	}

}
