package org.cyclamenstall.internal.policy.upstream;

/**
 * Keeps an exponentially weighted average of samples. Not thread-safe.
 */
public final class MovingAverage {

	private final double weight;

	private double value;

	private long samples;

	/**
	 * Creates an average without samples.
	 * @param weight the weight of a new sample, above zero and at most one
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
		double weightNow = Math.max(this.weight, 1.0 / this.samples);
		this.value += weightNow * (sample - this.value);
	}

	/**
	 * Returns the average.
	 * @param initial the value while there is no sample
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
	 * Forgets all samples.
	 */
	public void reset() {
		this.samples = 0;
		this.value = 0;
	}

}
