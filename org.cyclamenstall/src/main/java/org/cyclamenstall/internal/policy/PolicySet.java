package org.cyclamenstall.internal.policy;

import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenstall.internal.policy.limits.DemandShare;
import org.cyclamenstall.internal.policy.limits.EvenShare;
import org.cyclamenstall.internal.policy.limits.LimitShare;
import org.cyclamenstall.internal.policy.queue.FifoScheduler;
import org.cyclamenstall.internal.policy.queue.Scheduler;
import org.cyclamenstall.internal.policy.queue.TierScheduler;
import org.cyclamenstall.internal.policy.upstream.AdaptiveWindow;
import org.cyclamenstall.internal.policy.upstream.ExpectedLatencyChoice;
import org.cyclamenstall.internal.policy.upstream.FixedWindow;
import org.cyclamenstall.internal.policy.upstream.RoundRobinChoice;
import org.cyclamenstall.internal.policy.upstream.UpstreamChoice;
import org.cyclamenstall.internal.policy.upstream.Window;
import org.cyclamenstall.settings.PolicySettings;

/**
 * Creates the policies selected by the settings. Immutable.
 */
final class PolicySet {

	private final PolicySettings settings;

	private final String failureDomain;

	private final UniformRandomProvider random;

	PolicySet(PolicySettings settings, String failureDomain, UniformRandomProvider random) {
		this.settings = settings;
		this.failureDomain = failureDomain;
		this.random = random;
	}

	PolicySettings settings() {
		return this.settings;
	}

	UniformRandomProvider random() {
		return this.random;
	}

	Scheduler<PolicyTicket> newScheduler() {
		return usesTiers() ? new TierScheduler<>() : new FifoScheduler<>();
	}

	UpstreamChoice newUpstreamChoice() {
		return usesExpectedLatency() ? new ExpectedLatencyChoice(this.random, this.failureDomain)
				: new RoundRobinChoice();
	}

	Window newWindow() {
		return this.settings.window().equals("adaptive") ? new AdaptiveWindow() : new FixedWindow();
	}

	LimitShare newLimitShare() {
		return this.settings.limits().equals("shared") ? new DemandShare() : new EvenShare();
	}

	boolean usesTiers() {
		return this.settings.scheduling().equals("tiers");
	}

	boolean usesExpectedLatency() {
		return this.settings.upstreamChoice().equals("expected-latency");
	}

	boolean isHedgingEnabled() {
		return this.settings.hedging().equals("budget");
	}

	boolean isPreemptionEnabled() {
		return usesTiers() && this.settings.preemption().equals("resumable");
	}

}
