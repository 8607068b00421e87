package org.cyclamenstall.junit;

/**
 * Defines the faults that {@link InMemoryConfigurationStore} can inject into a call.
 * Every fault except {@link #NONE} and {@link #CONFLICT} makes a read fail.
 */
public enum StoreFault {

	/** No fault. */
	NONE,

	/** The store is unreachable. A write is not sent. */
	UNAVAILABLE,

	/** The request is lost: a write has no effect and its result is unknown. */
	REQUEST_LOST,

	/** The response is lost: a write takes effect but its result is unknown. */
	RESPONSE_LOST,

	/**
	 * The response is lost and a write takes effect only when
	 * {@link InMemoryConfigurationStore#applyDelayedWrites()} is called.
	 */
	WRITE_DELAYED,

	/** A write returns a conflict and has no effect. A read succeeds. */
	CONFLICT

}
