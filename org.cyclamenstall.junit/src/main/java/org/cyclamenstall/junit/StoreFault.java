package org.cyclamenstall.junit;

/**
 * Lists the faults that {@link InMemoryConfigurationStore} can inject into a call.
 */
public enum StoreFault {

	/** The call works. */
	NONE,

	/** The store is not reached: a write is not sent, a read fails. */
	UNAVAILABLE,

	/** No answer comes and a write has no effect; a read fails. */
	REQUEST_LOST,

	/** No answer comes although a write took effect; a read fails. */
	ANSWER_LOST,

	/**
	 * No answer comes and a write takes effect only with
	 * {@link InMemoryConfigurationStore#applyLateWrites()}; a read fails.
	 */
	EFFECT_LATE,

	/** A write is answered with a conflict and has no effect; a read works. */
	CONFLICT

}
