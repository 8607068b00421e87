package org.cyclamenstall.internal.policy.queue;

/**
 * Finds a slot for a waiting request.
 *
 * @param <T> the type of request
 */
@FunctionalInterface
public interface SlotFinder<T extends QueuedRequest> {

	/**
	 * Finds and keeps a slot.
	 * @param request the request
	 * @param claim the right by which it asks
	 * @return whether one was found
	 */
	boolean find(T request, SlotClaim claim);

}
