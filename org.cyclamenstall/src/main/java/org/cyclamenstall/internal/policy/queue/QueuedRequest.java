package org.cyclamenstall.internal.policy.queue;

import org.cyclamenstall.catalogue.Tier;

/**
 * Properties of a queued request that determine its order. They do not change while the
 * request is queued.
 */
public interface QueuedRequest {

	/**
	 * Returns the tier.
	 * @return the tier
	 */
	Tier tier();

	/**
	 * Returns the name of the client account. Capacity of a tier is shared fairly among
	 * its accounts.
	 * @return the account name
	 */
	String accountName();

	/**
	 * Returns the expected cost of the request.
	 * @return the cost in tokens, at least one
	 */
	double cost();

	/**
	 * Returns the arrival time.
	 * @return the arrival in nanoseconds on the monotonic clock
	 */
	long arrivalNanos();

	/**
	 * Returns whether the request may be shed in favour of a higher tier.
	 * @return {@code false} if its caller has already received part of the response
	 */
	boolean isSheddable();

}
