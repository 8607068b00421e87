package org.cyclamenstall.internal.policy.queue;

/**
 * Allocates upstream slots to queued requests.
 *
 * @param <T> the type of request
 */
@FunctionalInterface
public interface SlotAllocator<T extends QueuedRequest> {

	/**
	 * Allocates a slot for a request if one is available.
	 * @param request the request
	 * @param reason why the request is considered
	 * @return {@code true} if a slot was allocated
	 */
	boolean tryAllocate(T request, SlotReason reason);

}
