package org.cyclamenstall.catalogue;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Tells what a catalogue entry describes.
 */
public enum EntryKind {

	/** A language model behind the chat-completions path. */
	MODEL("model"),

	/** A plain service behind a path prefix. */
	SERVICE("service"),

	/** A client account with its API keys. */
	ACCOUNT("account");

	private final String label;

	EntryKind(String label) {
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
