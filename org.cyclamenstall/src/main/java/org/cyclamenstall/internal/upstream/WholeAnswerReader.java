package org.cyclamenstall.internal.upstream;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

import io.undertow.util.Headers;

/**
 * Gathers a whole answer up to a bound. An answer whose end cannot be proved is treated
 * as cut. Used on one I/O thread.
 */
final class WholeAnswerReader extends AnswerReader {

	private static final int MAXIMUM_BYTES = 8_388_608;

	private static final int STATUS_NO_CONTENT = 204;

	private static final int STATUS_NOT_MODIFIED = 304;

	private final AnswerHead head;

	private final AttemptTarget target;

	private final UpstreamProtocol protocol;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	WholeAnswerReader(UpstreamAttempt attempt, AnswerHead head, AttemptTarget target, UpstreamProtocol protocol) {
		super(attempt);
		this.head = head;
		this.target = target;
		this.protocol = protocol;
	}

	@Override
	protected void read(ByteBuffer bytes) {
		this.body.write(bytes.array(), bytes.position(), bytes.remaining());
		if (this.body.size() > MAXIMUM_BYTES) {
			attempt().fail(AttemptFailure.TOO_LARGE, "the answer exceeds " + MAXIMUM_BYTES + " bytes");
		}
	}

	@Override
	protected void ended() {
		if (!endIsProved()) {
			attempt().fail(AttemptFailure.CONNECTION_LOST, "the answer has no provable end");
			return;
		}
		try {
			attempt().succeed(this.protocol.check(this.target, this.head, this.body.toByteArray()));
		}
		catch (InvalidAnswerException ex) {
			attempt().fail(ex.failure(), ex.getMessage());
		}
	}

	private boolean endIsProved() {
		int status = this.head.status();
		return this.protocol.provesEndByClose() || this.head.headers().contains(Headers.CONTENT_LENGTH)
				|| this.head.headers().contains(Headers.TRANSFER_ENCODING) || status == STATUS_NO_CONTENT
				|| status == STATUS_NOT_MODIFIED;
	}

}
