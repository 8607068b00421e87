package org.cyclamenstall.internal.policy;

import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenstall.internal.policy.limits.DemandShareAllocator;
import org.cyclamenstall.internal.policy.limits.EvenShareAllocator;
import org.cyclamenstall.internal.policy.limits.ShareAllocator;
import org.cyclamenstall.internal.policy.queue.FifoScheduler;
import org.cyclamenstall.internal.policy.queue.Scheduler;
import org.cyclamenstall.internal.policy.queue.TierScheduler;
import org.cyclamenstall.internal.policy.upstream.AdaptiveWindow;
import org.cyclamenstall.internal.policy.upstream.ExpectedLatencySelector;
import org.cyclamenstall.internal.policy.upstream.FixedWindow;
import org.cyclamenstall.internal.policy.upstream.RoundRobinSelector;
import org.cyclamenstall.internal.policy.upstream.UpstreamSelector;
import org.cyclamenstall.internal.policy.upstream.Window;
import org.cyclamenstall.settings.PolicySettings;

/**
 * Creates the policies selected by the settings. Immutable.
 */
final class PolicyFactory {

	private final PolicySettings settings;

	private final String failureDomain;

	private final UniformRandomProvider random;

	PolicyFactory(PolicySettings settings, String failureDomain, UniformRandomProvider random) {
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

	UpstreamSelector newUpstreamSelector() {
		return usesExpectedLatency() ? new ExpectedLatencySelector(this.random, this.failureDomain)
				: new RoundRobinSelector();
	}

	Window newWindow() {
		return this.settings.window().equals("adaptive") ? new AdaptiveWindow() : new FixedWindow();
	}

	ShareAllocator newShareAllocator() {
		return this.settings.limits().equals("shared") ? new DemandShareAllocator() : new EvenShareAllocator();
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
