package org.cyclamenstall.catalogue;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Specifies whether non-idempotent requests to an entry must carry an idempotency key.
 */
public enum IdempotencyKeyRequirement {

	/** Requests without a key are rejected. */
	REQUIRED("required"),

	/** Requests may carry a key. */
	OPTIONAL("optional");

	private final String label;

	IdempotencyKeyRequirement(String label) {
		this.label = label;
	}

	/**
	 * Returns the name used in JSON and YAML.
	 * @return the label
	 */
	@JsonValue
	public String label() {
		return this.label;
	}

}
