package org.cyclamenstall.standin.http;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Tells how a stand-in treats connections.
 */
public enum Availability {

	/** Connections are accepted and served. */
	UP("up"),

	/** Connections are refused; open ones are closed. */
	REFUSING("refusing"),

	/** Connections are accepted and closed at the first request. */
	CLOSING("closing");

	private final String label;

	Availability(String label) {
		this.label = label;
	}

	/**
	 * Returns the spelling used in control requests.
	 * @return the label
	 */
	@JsonValue
	public String label() {
		return this.label;
	}

}
