package org.cyclamenstall.standin.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Generates the requests of a run in advance, so that every policy receives the same
 * requests. Arrivals form a Poisson process whose rate follows the swings of the
 * scenario. Each pair of account and class has its own random number generator, so that
 * excluding a class does not change the arrivals of the others. Immutable.
 */
public final class ArrivalPlan {

	private static final double NANOS_PER_SECOND = 1e9;

	private static final long SEED_STRIDE = 1_000_003;

	private final Scenario scenario;

	private final Deployment deployment;

	private final long seed;

	private final double totalWeight;

	/**
	 * Creates a plan; no arrival is generated yet.
	 * @param scenario the scenario
	 * @param deployment the deployment with the accounts and classes of the scenario
	 * @param seed the seed of the random number generators
	 */
	public ArrivalPlan(Scenario scenario, Deployment deployment, long seed) {
		this.deployment = deployment;
		this.scenario = scenario;
		this.seed = seed;
		this.totalWeight = deployment.accounts().stream().mapToDouble(Deployment.Account::weight).sum();
	}

	/**
	 * Generates the arrivals. Every call returns the same arrivals.
	 * @return the arrivals in order of intended send time
	 */
	public List<Arrival> generate() {
		List<Arrival> arrivals = new ArrayList<>();
		for (Deployment.RequestClass requestClass : this.deployment.classes()) {
			for (Deployment.Account account : this.deployment.accounts()) {
				addArrivals(requestClass, account, arrivals);
			}
		}
		arrivals.sort(Comparator.comparingLong(Arrival::atNanos));
		List<Arrival> numbered = new ArrayList<>(arrivals.size());
		for (Arrival arrival : arrivals) {
			numbered.add(new Arrival(numbered.size(), arrival.atNanos(), arrival.requestClass(), arrival.account(),
					arrival.balancerSample(), arrival.tokens()));
		}
		return numbered;
	}

	private void addArrivals(Deployment.RequestClass requestClass, Deployment.Account account, List<Arrival> arrivals) {
		double rate = requestClass.requestsPerSecond() * account.weight() / this.totalWeight;
		double peakRate = rate * Math.max(1, maximumFactor());
		if (peakRate <= 0) {
			return;
		}
		UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP
			.create(this.seed * SEED_STRIDE + (requestClass.name() + "/" + account.name()).hashCode());
		ZigguratSampler.Exponential interval = ZigguratSampler.Exponential.of(random, 1 / peakRate);
		for (double second = interval.sample() - this.scenario.warmUpSeconds(); second < this.scenario
			.seconds(); second += interval.sample()) {
			// Candidates are generated at the peak rate and thinned to the current rate.
			double thinningDraw = random.nextDouble();
			double balancerSample = random.nextDouble();
			int tokens = sampleTokens(requestClass, random);
			if (thinningDraw * peakRate < rate * demandFactor(second, account.name(), requestClass.name())) {
				arrivals.add(new Arrival(0, (long) (second * NANOS_PER_SECOND), requestClass, account.name(),
						balancerSample, tokens));
			}
		}
	}

	private double maximumFactor() {
		return this.scenario.swings()
			.stream()
			.mapToDouble(Scenario.Swing::factor)
			.reduce(1, (left, right) -> left * Math.max(1, right));
	}

	private double demandFactor(double second, String account, String requestClass) {
		return this.scenario.swings()
			.stream()
			.filter((swing) -> swing.isActive(second) && swing.appliesTo(account, requestClass))
			.mapToDouble(Scenario.Swing::factor)
			.reduce(1, (left, right) -> left * right);
	}

	private static int sampleTokens(Deployment.RequestClass requestClass, UniformRandomProvider random) {
		double normal = ZigguratSampler.NormalizedGaussian.of(random).sample();
		long tokens = Math.round(requestClass.medianTokens() * Math.exp(requestClass.tokensSigma() * normal));
		return (int) Math.max(1, Math.min(requestClass.maximumTokens(), tokens));
	}

}
