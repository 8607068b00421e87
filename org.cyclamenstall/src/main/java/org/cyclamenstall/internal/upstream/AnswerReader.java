package org.cyclamenstall.internal.upstream;

import java.io.IOException;
import java.nio.ByteBuffer;

import org.jspecify.annotations.Nullable;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads the body of an answer as it arrives. Used on one I/O thread; nothing is handed on
 * after the attempt ended.
 */
abstract class AnswerReader {

	private static final int READ_BYTES = 16_384;

	private final UpstreamAttempt attempt;

	private final ByteBuffer buffer = ByteBuffer.allocate(READ_BYTES);

	private @Nullable StreamSourceChannel channel;

	private boolean suspended;

	AnswerReader(UpstreamAttempt attempt) {
		this.attempt = attempt;
	}

	/**
	 * Takes bytes of the body.
	 * @param bytes the bytes; read to the end
	 */
	protected abstract void read(ByteBuffer bytes);

	/**
	 * Is told that the body ended as its transport declared.
	 */
	protected abstract void ended();

	/**
	 * Returns the attempt.
	 * @return the attempt
	 */
	protected final UpstreamAttempt attempt() {
		return this.attempt;
	}

	final void start(StreamSourceChannel source) {
		this.channel = source;
		source.getReadSetter().set((readable) -> drain());
		source.wakeupReads();
	}

	final void suspend() {
		this.suspended = true;
		if (this.channel != null) {
			this.channel.suspendReads();
		}
	}

	final void resume() {
		this.suspended = false;
		if (this.channel != null) {
			this.channel.wakeupReads();
		}
	}

	private void drain() {
		StreamSourceChannel source = this.channel;
		while (source != null && !this.suspended && !this.attempt.hasEnded()) {
			this.buffer.clear();
			int count;
			try {
				count = source.read(this.buffer);
			}
			catch (IOException ex) {
				this.attempt.fail(AttemptFailure.CONNECTION_LOST, "the answer was cut");
				return;
			}
			if (count == 0) {
				source.resumeReads();
				return;
			}
			if (count < 0) {
				ended();
				return;
			}
			this.attempt.progressed();
			this.buffer.flip();
			read(this.buffer);
		}
	}

}
