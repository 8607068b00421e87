package org.cyclamenstall.catalogue;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The classes of service, highest first. Requests of one class are never shed in favour
 * of a lower class.
 */
public enum Tier {

	/** A user is waiting for the response. */
	INTERACTIVE("interactive"),

	/** The response is needed soon, but no user is waiting for it. */
	STANDARD("standard"),

	/** Long-running work that can be delayed. */
	BULK("bulk");

	private final String label;

	Tier(String label) {
		this.label = label;
	}

	/**
	 * Returns the name used in the catalogue, in responses and in metrics.
	 * @return the label
	 */
	@JsonValue
	public String label() {
		return this.label;
	}

	/**
	 * Returns whether this class is higher than another.
	 * @param other the other class
	 * @return {@code true} if this class is higher
	 */
	public boolean isAbove(Tier other) {
		return ordinal() < other.ordinal();
	}

}
