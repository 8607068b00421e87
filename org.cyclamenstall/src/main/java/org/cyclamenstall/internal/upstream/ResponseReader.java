package org.cyclamenstall.internal.upstream;

import java.io.IOException;
import java.nio.ByteBuffer;

import org.cyclamenstall.internal.http.VerifiedResponseSource;
import org.jspecify.annotations.Nullable;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads the body of a response as it arrives. Used on one I/O thread; no data is passed
 * on after the attempt has ended.
 */
abstract class ResponseReader {

	private static final int READ_BYTES = 16_384;

	private final UpstreamAttempt attempt;

	private final ByteBuffer buffer = ByteBuffer.allocate(READ_BYTES);

	private @Nullable StreamSourceChannel channel;

	private @Nullable VerifiedResponseSource verifiedSource;

	private long bodyBytes;

	private boolean suspended;

	private boolean fullyRead;

	ResponseReader(UpstreamAttempt attempt) {
		this.attempt = attempt;
	}

	/**
	 * Processes bytes of the body.
	 * @param bytes the bytes; consumed completely
	 */
	protected abstract void processBytes(ByteBuffer bytes);

	/**
	 * Called at the verified end of the body. A body with neither a length nor a transfer
	 * encoding ends when its connection is closed.
	 */
	protected abstract void onEnd();

	/**
	 * Called when the attempt has ended, however it did.
	 */
	protected void onAttemptEnded() {
	}

	/**
	 * Returns the attempt whose response is read.
	 * @return the attempt
	 */
	protected final UpstreamAttempt attempt() {
		return this.attempt;
	}

	/**
	 * Returns whether the body was read to its end, so that the client has finished its
	 * exchange.
	 * @return {@code true} if the connection can be used again
	 */
	protected final boolean isFullyRead() {
		return this.fullyRead;
	}

	/**
	 * Starts to read. If there is no body, nothing is read: the client may await one that
	 * the headers announce.
	 * @param source the channel of the body
	 * @param newVerifiedSource the source of the connection
	 */
	final void start(StreamSourceChannel source, VerifiedResponseSource newVerifiedSource) {
		this.channel = source;
		this.verifiedSource = newVerifiedSource;
		if (newVerifiedSource.hasNoBody()) {
			endChecked();
			return;
		}
		source.getReadSetter().set((readable) -> readAvailable());
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

	private void endChecked() {
		VerifiedResponseSource source = this.verifiedSource;
		if (source != null && this.attempt.checkEnd(source, this.bodyBytes)) {
			onEnd();
		}
	}

	private void readAvailable() {
		StreamSourceChannel source = this.channel;
		while (source != null && !this.suspended && !this.attempt.hasEnded()) {
			this.buffer.clear();
			int count;
			try {
				count = source.read(this.buffer);
			}
			catch (IOException ex) {
				this.attempt.fail(ex, "the connection to the upstream was lost during the response");
				return;
			}
			if (count == 0) {
				source.resumeReads();
				return;
			}
			if (count < 0) {
				this.fullyRead = true;
				endChecked();
				return;
			}
			this.attempt.onProgress();
			this.buffer.flip();
			processGuarded();
			this.bodyBytes += count;
		}
	}

	// Bytes that were not processed are lost, so the response must not go on after them.
	private void processGuarded() {
		try {
			processBytes(this.buffer);
		}
		catch (RuntimeException | Error ex) {
			this.attempt.fail(AttemptFailure.CONNECTION_LOST, "the response could not be processed");
			throw ex;
		}
	}

}
