package org.cyclamenstall.internal.leadership;

/**
 * Next action of a {@link LeaderElection}.
 */
public sealed interface ElectionAction {

	/**
	 * Wait for a change of the record or until a time has passed.
	 *
	 * @param nanos the maximum time
	 */
	record Await(long nanos) implements ElectionAction {

	}

	/** Obtain a lease from the store. */
	record ObtainLease() implements ElectionAction {

	}

	/**
	 * Write the record of the leader if there is none.
	 *
	 * @param leaseId the lease of the record
	 */
	record WriteRecord(long leaseId) implements ElectionAction {

	}

	/**
	 * Renew the lease.
	 *
	 * @param leaseId the lease
	 */
	record RenewLease(long leaseId) implements ElectionAction {

	}

	/**
	 * End a lease that is not used any more.
	 *
	 * @param leaseId the lease
	 */
	record EndLease(long leaseId) implements ElectionAction {

	}

}
