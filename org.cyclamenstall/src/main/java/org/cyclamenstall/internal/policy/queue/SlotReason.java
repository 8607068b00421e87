package org.cyclamenstall.internal.policy.queue;

/**
 * The reason why a queued request is considered for a slot.
 */
public enum SlotReason {

	/**
	 * The request is next in the regular order; the capacity share of its tier at each
	 * upstream applies.
	 */
	SCHEDULED,

	/**
	 * The request of a lower tier arrived long ago; the capacity share of its tier does
	 * not apply.
	 */
	AGED

}
