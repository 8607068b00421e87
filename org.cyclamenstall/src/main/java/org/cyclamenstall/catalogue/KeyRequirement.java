package org.cyclamenstall.catalogue;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Tells whether a non-idempotent request of an entry carries an idempotency key.
 */
public enum KeyRequirement {

	/** A request without a key is refused. */
	REQUIRED("required"),

	/** A request may carry a key. */
	OPTIONAL("optional");

	private final String label;

	KeyRequirement(String label) {
		this.label = label;
	}

	/**
	 * Returns the spelling used in the catalogue.
	 * @return the label
	 */
	@JsonValue
	public String label() {
		return this.label;
	}

}
