package org.cyclamenstall.junit;

/**
 * Tells how a chat completion is answered.
 */
public enum ChatForm {

	/** In one JSON document. */
	WHOLE,

	/** As server-sent events. */
	STREAMED

}
