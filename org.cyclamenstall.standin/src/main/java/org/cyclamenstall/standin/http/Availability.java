package org.cyclamenstall.standin.http;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Modes in which a stand-in treats connections to its service port.
 */
public enum Availability {

	/** Connections are accepted and served. */
	UP("up"),

	/** New connections are refused, and open ones are closed. */
	REFUSING("refusing"),

	/**
	 * New connections are accepted and closed at the first request; open ones are closed.
	 */
	CLOSING("closing");

	private final String label;

	Availability(String label) {
		this.label = label;
	}

	/**
	 * Returns the name used in control requests.
	 * @return the label
	 */
	@JsonValue
	public String label() {
		return this.label;
	}

}
