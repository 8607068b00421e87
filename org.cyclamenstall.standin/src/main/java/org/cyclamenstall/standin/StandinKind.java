package org.cyclamenstall.standin;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Tells what a stand-in stands in for.
 */
public enum StandinKind {

	/** The platform's key-value service. */
	STORE("store"),

	/** The platform's list of hosts. */
	HOST_LIST("host-list"),

	/** A model engine. */
	ENGINE("engine"),

	/** A plain service. */
	SERVICE("service");

	private final String label;

	StandinKind(String label) {
		this.label = label;
	}

	/**
	 * Returns the spelling used in settings.
	 * @return the label
	 */
	@JsonValue
	public String label() {
		return this.label;
	}

}
