package org.cyclamenstall.internal.policy.upstream;

/**
 * Exponentially weighted moving average. The first samples are averaged with equal
 * weights until the configured weight applies. Not thread-safe.
 */
public final class MovingAverage {

	private final double weight;

	private double value;

	private long samples;

	/**
	 * Creates an average without samples.
	 * @param weight the weight of a new sample, greater than zero and at most one
	 */
	public MovingAverage(double weight) {
		this.weight = weight;
	}

	/**
	 * Adds a sample.
	 * @param sample the sample
	 */
	public void add(double sample) {
		this.samples++;
		double effectiveWeight = Math.max(this.weight, 1.0 / this.samples);
		this.value += effectiveWeight * (sample - this.value);
	}

	/**
	 * Returns the average, or a default if there are no samples.
	 * @param initial the default
	 * @return the average
	 */
	public double valueOr(double initial) {
		return (this.samples > 0) ? this.value : initial;
	}

	/**
	 * Returns the number of samples since the last reset.
	 * @return the count
	 */
	public long samples() {
		return this.samples;
	}

	/**
	 * Removes all samples.
	 */
	public void reset() {
		this.samples = 0;
		this.value = 0;
	}

}
