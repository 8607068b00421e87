package org.cyclamenstall.internal.upstream;

import java.nio.ByteBuffer;
import java.util.function.Consumer;

/**
 * Splits and checks the stream of one attempt. Not thread-safe.
 */
public interface StreamParser {

	/**
	 * Takes bytes of the stream.
	 * @param bytes the bytes; read to the end
	 * @param sink takes each event that they complete, in order
	 * @throws InvalidAnswerException if the stream must not be relayed any further
	 */
	void parse(ByteBuffer bytes, Consumer<StreamEvent> sink);

	/**
	 * Returns whether the end mark of the stream arrived; whatever follows is ignored.
	 * @return {@code true} if the stream is whole
	 */
	boolean isFinished();

	/**
	 * Returns whether the stream is whole if its transport ends now as declared.
	 * @return {@code true} if nothing is missing
	 */
	boolean mayEndHere();

}
