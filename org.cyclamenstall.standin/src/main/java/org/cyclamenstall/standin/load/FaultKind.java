package org.cyclamenstall.standin.load;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The kind of a scheduled fault in a scenario.
 */
public enum FaultKind {

	/** A share of the engines runs slower and reports its load with a delay. */
	SLOW_ENGINES("slow-engines"),

	/** A share of the engines generates no tokens. */
	STALL_ENGINES("stall-engines"),

	/** A share of the engines closes all its connections once. */
	CRASH_ENGINES("crash-engines"),

	/** The process of a daemon is killed. */
	KILL_DAEMON("kill-daemon");

	private final String label;

	FaultKind(String label) {
		this.label = label;
	}

	/**
	 * Returns the spelling used in scenarios.
	 * @return the label
	 */
	@JsonValue
	public String label() {
		return this.label;
	}

}
