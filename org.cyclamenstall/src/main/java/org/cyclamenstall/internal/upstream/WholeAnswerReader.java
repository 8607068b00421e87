package org.cyclamenstall.internal.upstream;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

import io.undertow.client.ClientResponse;
import io.undertow.util.Headers;
import org.jspecify.annotations.Nullable;

/**
 * Gathers a whole answer up to a bound. An answer whose end the transport cannot prove
 * (neither length nor chunks) is treated as cut. Used on one I/O thread.
 */
final class WholeAnswerReader extends AnswerReader {

	private static final int MAXIMUM_BYTES = 8_388_608;

	private static final int STATUS_NO_CONTENT = 204;

	private static final int STATUS_NOT_MODIFIED = 304;

	private final ClientResponse response;

	private final @Nullable ModelAnswerChecker checker;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	WholeAnswerReader(UpstreamAttempt attempt, ClientResponse response, @Nullable ModelAnswerChecker checker) {
		super(attempt);
		this.response = response;
		this.checker = checker;
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
		if (this.checker == null) {
			attempt().succeed(answer(this.body.toByteArray(), 0));
			return;
		}
		try {
			ModelAnswerChecker.CheckedBody checked = this.checker.checkWhole(this.body.toByteArray());
			attempt().succeed(answer(checked.body(), checked.tokens()));
		}
		catch (ModelAnswerChecker.InvalidAnswerException ex) {
			attempt().fail(ex.failure(), ex.getMessage());
		}
	}

	private WholeAnswer answer(byte[] bytes, long tokens) {
		return new WholeAnswer(this.response.getResponseCode(), this.response.getResponseHeaders(), bytes, tokens);
	}

	private boolean endIsProved() {
		int status = this.response.getResponseCode();
		return this.response.getResponseHeaders().contains(Headers.CONTENT_LENGTH)
				|| this.response.getResponseHeaders().contains(Headers.TRANSFER_ENCODING) || status == STATUS_NO_CONTENT
				|| status == STATUS_NOT_MODIFIED;
	}

}
