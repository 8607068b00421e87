package org.cyclamenstall.internal.policy.queue;

/**
 * States why a queued request is considered for a slot.
 */
public enum SlotReason {

	/**
	 * It is next in the regular order; the capacity share of its tier at each upstream
	 * applies.
	 */
	SCHEDULED,

	/**
	 * It has been queued for too long; the capacity share of its tier does not apply.
	 */
	AGED

}
