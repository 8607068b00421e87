package org.cyclamenstall.catalogue;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Ranks the classes of service, highest first. A class is never shed for a lower one.
 */
public enum Tier {

	/** Somebody waits for the answer. */
	INTERACTIVE("interactive"),

	/** Needed soon, nobody waits on the line. */
	STANDARD("standard"),

	/** Long work that can wait. */
	BULK("bulk");

	private final String label;

	Tier(String label) {
		this.label = label;
	}

	/**
	 * Returns the spelling used in the catalogue, in answers and in metrics.
	 * @return the label
	 */
	@JsonValue
	public String label() {
		return this.label;
	}

	/**
	 * Returns whether this tier ranks above another.
	 * @param other the other tier
	 * @return {@code true} if this one is higher
	 */
	public boolean isAbove(Tier other) {
		return ordinal() < other.ordinal();
	}

}
