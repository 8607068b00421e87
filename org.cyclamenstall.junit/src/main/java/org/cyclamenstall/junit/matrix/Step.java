package org.cyclamenstall.junit.matrix;

import java.util.List;
import java.util.Locale;

/**
 * Lists the steps of requests and edits.
 */
public enum Step {

	/** A part of the request has come. */
	RECEIVED,

	/** The request waits for an upstream. */
	QUEUED,

	/** The claim is on its way to the store. */
	CLAIM_SENT,

	/** The claim took effect; its answer is on its way. */
	CLAIM_ACKNOWLEDGED,

	/** The request is on its way to the upstream. */
	SENDING,

	/** The upstream executes the request; no byte of the answer has come. */
	SENT,

	/** The first bytes of the answer have come. */
	FIRST_BYTE,

	/** The answer is half through. */
	MID_STREAM,

	/** The last bytes of the answer, or the record of its end, are on their way. */
	END,

	/** The edit is on its way to the store. */
	EDIT_SENT,

	/** The edit took effect; its answer is on its way. */
	EDIT_WRITTEN,

	/** The edit was accepted; no other daemon has heard of it. */
	EDIT_ACKNOWLEDGED,

	/** One other daemon has heard of the edit. */
	HEARD_BY_FIRST,

	/** Every daemon has heard of the edit. */
	HEARD_BY_ALL;

	/** The steps of a booking in order. */
	public static final List<Step> OF_BOOKING = List.of(RECEIVED, QUEUED, CLAIM_SENT, CLAIM_ACKNOWLEDGED, SENDING, SENT,
			FIRST_BYTE, END);

	/** The steps of a streamed chat in order. */
	public static final List<Step> OF_CHAT = List.of(RECEIVED, QUEUED, SENDING, SENT, FIRST_BYTE, MID_STREAM, END);

	/** The steps of an edit in order. */
	public static final List<Step> OF_EDIT = List.of(EDIT_SENT, EDIT_WRITTEN, EDIT_ACKNOWLEDGED, HEARD_BY_FIRST,
			HEARD_BY_ALL);

	/**
	 * Returns the spelling used in the table.
	 * @return the label
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
