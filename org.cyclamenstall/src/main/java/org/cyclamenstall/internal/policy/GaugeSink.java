package org.cyclamenstall.internal.policy;

/**
 * Receives the values of a gauge.
 */
@FunctionalInterface
interface GaugeSink {

	/**
	 * Reports the value for one combination of labels.
	 * @param value the value
	 * @param labels the label values
	 */
	void accept(double value, String... labels);

}
