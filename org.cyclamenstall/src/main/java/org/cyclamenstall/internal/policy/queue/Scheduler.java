package org.cyclamenstall.internal.policy.queue;

import java.util.List;

import org.cyclamenstall.catalogue.Tier;
import org.jspecify.annotations.Nullable;

/**
 * Orders the queued requests of one upstream service. Performs no I/O. Not thread-safe:
 * guarded by the lock of the controller.
 *
 * @param <T> the type of request
 */
public interface Scheduler<T extends QueuedRequest> {

	/**
	 * Adds a new request behind the earlier ones.
	 * @param request the request
	 */
	void add(T request);

	/**
	 * Adds a request that was dispatched before, ahead of the requests of its tier that
	 * were not yet dispatched.
	 * @param request the request
	 */
	void requeue(T request);

	/**
	 * Removes a request.
	 * @param request the request
	 * @return {@code true} if it was queued
	 */
	boolean remove(T request);

	/**
	 * Removes and returns the next request for which a slot is available.
	 * @param nowNanos the time on the monotonic clock
	 * @param slotAllocator allocates the slot
	 * @return the request, or {@code null} if none can be dispatched now
	 */
	@Nullable T poll(long nowNanos, SlotAllocator<T> slotAllocator);

	/**
	 * Selects the request to shed so that a request of a higher tier can be queued. The
	 * selected request is not removed.
	 * @param arrivingTier the tier of the arriving request
	 * @return the newest request that may be shed, taken from the lowest tier that has
	 * one and is below the tier of the arriving request, or {@code null} if there is none
	 */
	@Nullable T selectVictim(Tier arrivingTier);

	/**
	 * Returns whether a request of a tier is queued that may be shed.
	 * @param tier the tier
	 * @return {@code true} if there is one
	 */
	boolean hasSheddable(Tier tier);

	/**
	 * Returns all queued requests.
	 * @return a copy; lowest tier first if the scheduler distinguishes tiers
	 */
	List<T> all();

	/**
	 * Returns the number of queued requests of a tier.
	 * @param tier the tier
	 * @return the count
	 */
	int size(Tier tier);

	/**
	 * Returns the number of queued requests of all tiers.
	 * @return the count
	 */
	int size();

	/**
	 * Returns how many queued requests would be dispatched before a new request of a
	 * tier.
	 * @param tier the tier
	 * @return the count
	 */
	int countAhead(Tier tier);

}
