package org.cyclamenstall.internal.policy.queue;

import java.util.List;

import org.cyclamenstall.catalogue.Tier;
import org.jspecify.annotations.Nullable;

/**
 * Orders the waiting requests of one upstream service. Does no input or output. Not
 * thread-safe: the controller's lock guards it.
 *
 * @param <T> the type of request
 */
public interface Scheduler<T extends QueuedRequest> {

	/**
	 * Adds a request behind the others of its tier.
	 * @param request the request
	 */
	void add(T request);

	/**
	 * Adds a request before the others of its tier, as it was served in part already.
	 * @param request the request
	 */
	void addFirst(T request);

	/**
	 * Removes a request.
	 * @param request the request
	 * @return whether it was waiting
	 */
	boolean remove(T request);

	/**
	 * Takes the next request that a slot was found for.
	 * @param nowNanos the time on the monotonic clock
	 * @param slotFinder finds and keeps a slot for a request
	 * @return the request, or {@code null} if none can be dispatched now
	 */
	@Nullable T poll(long nowNanos, SlotFinder<T> slotFinder);

	/**
	 * Chooses whom to drop so that a request of a tier may wait.
	 * @param arriving the tier of the arriving request
	 * @return the newest request of the lowest tier below the arriving one, or
	 * {@code null} if nothing may be dropped for it
	 */
	@Nullable T victimFor(Tier arriving);

	/**
	 * Returns whether a request of a tier waits that may be dropped.
	 * @param tier the tier
	 * @return whether there is one
	 */
	boolean hasSheddable(Tier tier);

	/**
	 * Returns all waiting requests.
	 * @return a copy, lowest tier first
	 */
	List<T> all();

	/**
	 * Returns the number of waiting requests of a tier.
	 * @param tier the tier
	 * @return the count
	 */
	int size(Tier tier);

	/**
	 * Returns the number of waiting requests.
	 * @return the count
	 */
	int size();

	/**
	 * Returns how many waiting requests are served before a new one of a tier.
	 * @param tier the tier
	 * @return the count
	 */
	int ahead(Tier tier);

}
