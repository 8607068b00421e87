package org.cyclamenstall.standin.load;

import org.cyclamenstall.settings.PolicySettings;

/**
 * Finds the policies of a run by name.
 */
final class NamedPolicies {

	/** Names the policies that a daemon has by default. */
	static final String TIERS = "tiers";

	/**
	 * Names first in first out, round robin, fixed windows, even shares and no hedges.
	 */
	static final String BASELINE = "baseline";

	private NamedPolicies() {
	}

	static PolicySettings find(String name, Scenario scenario, Deployment deployment) {
		int slots = deployment.engines().options().slots();
		PolicySettings written = scenario.policies().get(name);
		if (written != null) {
			return written;
		}
		return switch (name) {
			case TIERS -> settings("tiers", "expected-latency", "adaptive", "shared", "budget", "resumable", slots);
			case BASELINE -> settings("fifo", "round-robin", "fixed", "even", "none", "none", slots);
			default -> throw new IllegalArgumentException("no policies are named " + name + "; known: " + TIERS + ", "
					+ BASELINE + ", " + scenario.policies().keySet());
		};
	}

	private static PolicySettings settings(String scheduling, String choice, String window, String limits,
			String hedging, String preemption, int slots) {
		return new PolicySettings(scheduling, choice, window, limits, hedging, preemption, slots, null, null, null,
				null, null, null);
	}

}
