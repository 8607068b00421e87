package org.cyclamenstall.internal.policy.queue;

import org.cyclamenstall.catalogue.Tier;

/**
 * Describes a waiting request to the scheduler. The values do not change while it waits.
 */
public interface QueuedRequest {

	/**
	 * Returns the class of service.
	 * @return the tier
	 */
	Tier tier();

	/**
	 * Returns the name of the client account, among which a tier is divided.
	 * @return the account name
	 */
	String accountName();

	/**
	 * Returns the expected work.
	 * @return the work in tokens, at least one
	 */
	double cost();

	/**
	 * Returns when the request arrived.
	 * @return the arrival in nanoseconds on the monotonic clock
	 */
	long arrivalNanos();

	/**
	 * Returns whether the request may be dropped in favour of a higher tier.
	 * @return {@code false} if its caller received a part of the answer already
	 */
	boolean sheddable();

}
