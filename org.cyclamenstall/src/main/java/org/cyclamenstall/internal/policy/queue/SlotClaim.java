package org.cyclamenstall.internal.policy.queue;

/**
 * Tells by which right a waiting request asks for a slot.
 */
public enum SlotClaim {

	/** It is its turn; its tier's part of each upstream applies. */
	TURN,

	/** It waited long; its tier's part does not apply. */
	AGE

}
