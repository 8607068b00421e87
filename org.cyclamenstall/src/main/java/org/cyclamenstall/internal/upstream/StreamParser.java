package org.cyclamenstall.internal.upstream;

import java.nio.ByteBuffer;
import java.util.function.Consumer;

/**
 * Splits the stream of one attempt into events and validates them. Not thread-safe.
 */
public interface StreamParser {

	/**
	 * Parses further bytes of the stream.
	 * @param bytes the bytes; consumed completely
	 * @param sink receives each event that the bytes complete, in order
	 * @throws InvalidResponseException if the rest of the stream must not be relayed
	 */
	void parse(ByteBuffer bytes, Consumer<StreamEvent> sink);

	/**
	 * Returns whether the end marker of the stream was received. Further data is ignored.
	 * @return {@code true} if the stream is complete
	 */
	boolean isFinished();

	/**
	 * Returns whether the stream is complete if its body ends at the current position.
	 * @return {@code true} if the body may end without an end marker
	 */
	boolean isCompleteOnClose();

}
