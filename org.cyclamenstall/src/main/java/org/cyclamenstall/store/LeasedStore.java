package org.cyclamenstall.store;

import java.time.Duration;

/**
 * Writes records of a key-value store under conditions, and binds them to leases that the
 * store ends by itself. All methods block until a response was received or the timeout
 * has passed, and must not be called on an I/O thread. A call without a response may
 * still be executed later. Thread-safe.
 */
public interface LeasedStore {

	/**
	 * Obtains a lease. The lease runs from the arrival of the call at the store.
	 * @param duration the requested duration
	 * @param timeout the timeout of the call
	 * @return the lease
	 * @throws org.cyclamenstall.errors.RouterException of kind {@code STORE_UNAVAILABLE}
	 * if no valid response was received
	 */
	StoreLease obtainLease(Duration duration, Duration timeout);

	/**
	 * Renews a lease for its full duration from the arrival of the call.
	 * @param leaseId the identifier of the lease
	 * @param timeout the timeout of the call
	 * @return {@code false} if the lease has ended
	 * @throws org.cyclamenstall.errors.RouterException of kind {@code STORE_UNAVAILABLE}
	 * if no valid response was received
	 */
	boolean renewLease(long leaseId, Duration timeout);

	/**
	 * Ends a lease and removes its records. Has no effect if it has ended.
	 * @param leaseId the identifier of the lease
	 * @param timeout the timeout of the call
	 * @throws org.cyclamenstall.errors.RouterException of kind {@code STORE_UNAVAILABLE}
	 * if no valid response was received
	 */
	void endLease(long leaseId, Duration timeout);

	/**
	 * Writes a record if its version is the expected one.
	 * @param write the record, its expected version and its lease
	 * @param timeout the timeout of the call
	 * @return the result; never throws for a missing response
	 */
	ConditionalWriteResult write(ConditionalWrite write, Duration timeout);

}
