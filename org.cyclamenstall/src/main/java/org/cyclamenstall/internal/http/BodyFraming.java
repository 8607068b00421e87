package org.cyclamenstall.internal.http;

/**
 * How the end of a response's body is defined (RFC 9112, section 6.3).
 */
enum BodyFraming {

	/** There is no body. */
	NONE,

	/** The body has a declared length. */
	LENGTH,

	/** The body ends with its last chunk and the trailers after it. */
	CHUNKED,

	/** The body ends when the server closes the connection. */
	UNTIL_CLOSE

}
