package org.cyclamenstall.standin.load;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Tells what happens in a fault of a scenario.
 */
public enum FaultKind {

	/** A share of the engines is slower and reports its load late. */
	SLOW_ENGINES("slow-engines"),

	/** A share of the engines makes no tokens. */
	STALL_ENGINES("stall-engines"),

	/** A share of the engines closes all connections once. */
	CRASH_ENGINES("crash-engines"),

	/** A daemon is killed. */
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
