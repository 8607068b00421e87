package org.cyclamenstall.standin.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Draws the requests of a run ahead of it, so that every policy meets the same ones.
 * Arrivals are a Poisson process whose rate follows the swings; each account and class
 * has a random source of its own, so that leaving out one class leaves the others as they
 * are. Immutable.
 */
public final class ArrivalPlan {

	private static final double NANOS_PER_SECOND = 1e9;

	private static final long CLASS_STRIDE = 1_000_003;

	private final Scenario scenario;

	private final Deployment deployment;

	private final long seed;

	private final double totalWeight;

	/**
	 * Creates a plan.
	 * @param scenario the scenario
	 * @param deployment the deployment of the scenario
	 * @param seed the seed
	 */
	public ArrivalPlan(Scenario scenario, Deployment deployment, long seed) {
		this.deployment = deployment;
		this.scenario = scenario;
		this.seed = seed;
		this.totalWeight = deployment.accounts().stream().mapToDouble(Deployment.Account::weight).sum();
	}

	/**
	 * Draws the arrivals.
	 * @return the arrivals in order of time
	 */
	public List<Arrival> draw() {
		List<Arrival> drawn = new ArrayList<>();
		for (Deployment.RequestClass requestClass : this.deployment.classes()) {
			for (Deployment.Account account : this.deployment.accounts()) {
				draw(requestClass, account, drawn);
			}
		}
		drawn.sort(Comparator.comparingLong(Arrival::atNanos));
		List<Arrival> numbered = new ArrayList<>(drawn.size());
		for (Arrival arrival : drawn) {
			numbered.add(new Arrival(numbered.size(), arrival.atNanos(), arrival.requestClass(), arrival.account(),
					arrival.balancerDraw(), arrival.tokens()));
		}
		return numbered;
	}

	private void draw(Deployment.RequestClass requestClass, Deployment.Account account, List<Arrival> drawn) {
		double rate = requestClass.requestsPerSecond() * account.weight() / this.totalWeight;
		double peak = rate * Math.max(1, peakFactor());
		if (peak <= 0) {
			return;
		}
		UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP
			.create(this.seed * CLASS_STRIDE + (requestClass.name() + "/" + account.name()).hashCode());
		ZigguratSampler.Exponential pause = ZigguratSampler.Exponential.of(random, 1 / peak);
		for (double second = pause.sample() - this.scenario.warmUpSeconds(); second < this.scenario
			.seconds(); second += pause.sample()) {
			double keep = random.nextDouble();
			double balancerDraw = random.nextDouble();
			int tokens = tokens(requestClass, random);
			if (keep * peak < rate * factor(second, account.name(), requestClass.name())) {
				drawn.add(new Arrival(0, (long) (second * NANOS_PER_SECOND), requestClass, account.name(), balancerDraw,
						tokens));
			}
		}
	}

	private double peakFactor() {
		return this.scenario.swings()
			.stream()
			.mapToDouble(Scenario.Swing::factor)
			.reduce(1, (left, right) -> left * Math.max(1, right));
	}

	private double factor(double second, String account, String requestClass) {
		return this.scenario.swings()
			.stream()
			.filter((swing) -> swing.covers(second) && swing.concerns(account, requestClass))
			.mapToDouble(Scenario.Swing::factor)
			.reduce(1, (left, right) -> left * right);
	}

	private static int tokens(Deployment.RequestClass requestClass, UniformRandomProvider random) {
		double normal = ZigguratSampler.NormalizedGaussian.of(random).sample();
		long tokens = Math.round(requestClass.medianTokens() * Math.exp(requestClass.tokensSigma() * normal));
		return (int) Math.max(1, Math.min(requestClass.maximumTokens(), tokens));
	}

}
