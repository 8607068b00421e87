package org.cyclamenstall.standin.caller;

/**
 * Forms in which the response to a chat completion is sent.
 */
public enum ChatResponseForm {

	/** As a single JSON document. */
	NON_STREAMED,

	/** As server-sent events. */
	STREAMED

}
