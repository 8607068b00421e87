package org.cyclamenstall.catalogue;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The kind of a catalogue entry.
 */
public enum EntryKind {

	/** A language model served on the chat-completions path. */
	MODEL("model"),

	/** An HTTP service selected by a path prefix. */
	SERVICE("service"),

	/** A client account with its API keys. */
	ACCOUNT("account");

	private final String label;

	EntryKind(String label) {
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
