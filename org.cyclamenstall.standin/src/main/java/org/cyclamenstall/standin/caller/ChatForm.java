package org.cyclamenstall.standin.caller;

/**
 * Tells how a chat completion is answered.
 */
public enum ChatForm {

	/** In one JSON document. */
	WHOLE,

	/** As server-sent events. */
	STREAMED

}
