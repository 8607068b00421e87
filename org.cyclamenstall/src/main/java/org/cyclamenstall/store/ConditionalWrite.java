package org.cyclamenstall.store;

/**
 * Describes a write that is executed only if the record is unchanged. The array is not
 * copied and must not be modified.
 *
 * @param key the key
 * @param value the value to write
 * @param expectedVersion the version that the record must have; {@link #ABSENT} if there
 * must be none
 * @param leaseId the lease to which the record is bound, or {@link #NO_LEASE}
 */
public record ConditionalWrite(String key, byte[] value, long expectedVersion, long leaseId) {

	/** Expected version of a record that must not exist. */
	public static final long ABSENT = 0;

	/** Lease of a record that the store does not remove. */
	public static final long NO_LEASE = 0;

}
