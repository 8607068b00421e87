package org.cyclamenstall.standin.load;

import org.cyclamenstall.settings.PolicySettings;

/**
 * Looks up the policy settings of a run by name, among those of the scenario and the
 * built-in ones.
 */
final class NamedPolicies {

	/** The name of the default policies of a daemon. */
	static final String TIERS = "tiers";

	/**
	 * The name of the baseline policies: FIFO scheduling, round robin, fixed windows,
	 * limits divided evenly among the daemons, no hedging and no preemption.
	 */
	static final String BASELINE = "baseline";

	private NamedPolicies() {
	}

	static PolicySettings find(String name, Scenario scenario, Deployment deployment) {
		int slots = deployment.engines().options().slots();
		PolicySettings configured = scenario.policies().get(name);
		if (configured != null) {
			return configured;
		}
		return switch (name) {
			case TIERS -> settings("tiers", "expected-latency", "adaptive", "shared", "budget", "resumable", slots);
			case BASELINE -> settings("fifo", "round-robin", "fixed", "even", "none", "none", slots);
			default -> throw new IllegalArgumentException("unknown policies " + name + "; known: " + TIERS + ", "
					+ BASELINE + ", " + scenario.policies().keySet());
		};
	}

	private static PolicySettings settings(String scheduling, String upstreamChoice, String window, String limits,
			String hedging, String preemption, int slots) {
		return new PolicySettings(scheduling, upstreamChoice, window, limits, hedging, preemption, slots, null, null,
				null, null, null, null);
	}

}
