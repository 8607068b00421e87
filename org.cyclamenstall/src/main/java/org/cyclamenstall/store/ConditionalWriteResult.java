package org.cyclamenstall.store;

import org.jspecify.annotations.Nullable;

/**
 * Result of a {@link ConditionalWrite}.
 */
public sealed interface ConditionalWriteResult {

	/**
	 * The record was written.
	 *
	 * @param version its new version, higher than that of all earlier changes of the
	 * store
	 */
	record Applied(long version) implements ConditionalWriteResult {

	}

	/**
	 * The record has another version than expected; nothing was written.
	 *
	 * @param current the current record, or {@code null} if there is none
	 */
	record Conflict(@Nullable StoreRecord current) implements ConditionalWriteResult {

	}

	/**
	 * The lease of the write has ended; nothing was written.
	 */
	record LeaseEnded() implements ConditionalWriteResult {

	}

	/**
	 * No valid response was received. The write may have been executed, or may be
	 * executed later if its condition still holds.
	 *
	 * @param detail the cause
	 */
	record Unknown(String detail) implements ConditionalWriteResult {

	}

}
