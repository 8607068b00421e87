package org.cyclamenstall.standin;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Kinds of outside systems that a stand-in simulates.
 */
public enum StandinKind {

	/** The platform's key-value store. */
	STORE("store"),

	/** The platform's host list. */
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
	 * Returns the name used in settings.
	 * @return the label
	 */
	@JsonValue
	public String label() {
		return this.label;
	}

}
