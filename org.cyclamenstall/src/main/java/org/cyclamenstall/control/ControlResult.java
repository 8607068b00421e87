package org.cyclamenstall.control;

/**
 * Result of a call to the platform.
 */
public enum ControlResult {

	/** The call was executed. */
	ACCEPTED,

	/**
	 * The call was refused, because a higher fencing token was seen or because what was
	 * ordered is not available.
	 */
	CONFLICT,

	/** The call was refused, because there were too many. */
	BUSY,

	/** The call was refused as invalid. */
	REJECTED,

	/** No valid response was received. The call may be executed later. */
	UNKNOWN

}
