package org.cyclamenstall.internal.policy;

/**
 * Takes the value of a gauge.
 */
@FunctionalInterface
interface GaugeSink {

	/**
	 * Takes a value.
	 * @param value the value
	 * @param labels the values of the labels
	 */
	void accept(double value, String... labels);

}
