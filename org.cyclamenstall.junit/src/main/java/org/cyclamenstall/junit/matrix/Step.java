package org.cyclamenstall.junit.matrix;

import java.util.List;
import java.util.Locale;

/**
 * Defines the steps of requests and edits at which faults are injected.
 */
public enum Step {

	/** The daemon has received a part of the request headers. */
	RECEIVED,

	/** The request is queued for an upstream. */
	QUEUED,

	/** The write of the claim has been sent but has not reached the store. */
	CLAIM_SENT,

	/** The claim is stored; the response has not reached the daemon. */
	CLAIM_ACKNOWLEDGED,

	/** The request has been sent but has not reached the upstream. */
	SENDING,

	/**
	 * The upstream is executing the request; no byte of the response has reached the
	 * daemon.
	 */
	SENT,

	/** A part of the response headers has reached the daemon. */
	FIRST_BYTE,

	/** The response headers and a part of the stream have reached the daemon. */
	MID_STREAM,

	/**
	 * The last bytes of a streamed response, or the write of the outcome of a booking,
	 * are held.
	 */
	END,

	/** The write of the edit has been sent but has not reached the store. */
	EDIT_SENT,

	/** The edit is stored; the response has not reached the daemon. */
	EDIT_WRITTEN,

	/** The edit is accepted; no other daemon has received it. */
	EDIT_ACKNOWLEDGED,

	/** One other daemon has received and applied the edit. */
	HEARD_BY_FIRST,

	/** All daemons have received and applied the edit. */
	HEARD_BY_ALL;

	/** The steps of a booking, in order. */
	public static final List<Step> BOOKING_STEPS = List.of(RECEIVED, QUEUED, CLAIM_SENT, CLAIM_ACKNOWLEDGED, SENDING,
			SENT, FIRST_BYTE, END);

	/** The steps of a streamed chat, in order. */
	public static final List<Step> CHAT_STEPS = List.of(RECEIVED, QUEUED, SENDING, SENT, FIRST_BYTE, MID_STREAM, END);

	/** The steps of an edit, in order. */
	public static final List<Step> EDIT_STEPS = List.of(EDIT_SENT, EDIT_WRITTEN, EDIT_ACKNOWLEDGED, HEARD_BY_FIRST,
			HEARD_BY_ALL);

	/**
	 * Returns the label of the step in the table.
	 * @return the constant name in lower case with hyphens
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
