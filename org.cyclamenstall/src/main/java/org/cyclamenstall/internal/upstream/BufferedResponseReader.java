package org.cyclamenstall.internal.upstream;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

import io.undertow.util.Headers;
import org.cyclamenstall.internal.http.BodyBudget;

/**
 * Buffers a response up to a maximum size, and within the {@link BodyBudget} of all
 * responses. A response is treated as truncated if neither its headers nor its status nor
 * the protocol defines where it ends. The reservation of a complete response is passed on
 * with it. Used on one I/O thread.
 */
final class BufferedResponseReader extends ResponseReader {

	private static final int MAXIMUM_BYTES = 8_388_608;

	private static final int STATUS_NO_CONTENT = 204;

	private static final int STATUS_NOT_MODIFIED = 304;

	private final ResponseHead responseHead;

	private final AttemptContext context;

	private final UpstreamProtocol protocol;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private final BodyBudget.Reservation reservation;

	private boolean passedOn;

	BufferedResponseReader(UpstreamAttempt attempt, ResponseHead responseHead, AttemptContext context,
			UpstreamProtocol protocol, BodyBudget budget) {
		super(attempt);
		this.reservation = budget.reserve();
		this.responseHead = responseHead;
		this.context = context;
		this.protocol = protocol;
	}

	@Override
	protected void processBytes(ByteBuffer bytes) {
		int size = this.body.size() + bytes.remaining();
		if (size > MAXIMUM_BYTES) {
			attempt().fail(AttemptFailure.TOO_LARGE, "the response exceeds " + MAXIMUM_BYTES + " bytes");
		}
		else if (!this.reservation.tryGrow(size)) {
			attempt().fail(AttemptFailure.TOO_LARGE,
					"the response exceeds the memory that is left for responses, at " + size + " bytes");
		}
		else {
			this.body.write(bytes.array(), bytes.position(), bytes.remaining());
		}
	}

	@Override
	protected void onAttemptEnded() {
		if (!this.passedOn) {
			this.reservation.release();
		}
	}

	@Override
	protected void onEnd() {
		if (!isEndDefined()) {
			attempt().fail(AttemptFailure.CONNECTION_LOST,
					"the response may be truncated: it has no length and is not chunked");
			return;
		}
		BufferedResponse response;
		try {
			response = this.protocol.validate(this.context, this.responseHead, this.body.toByteArray());
		}
		catch (InvalidResponseException ex) {
			attempt().fail(ex.failure(), ex.getMessage());
			return;
		}
		this.passedOn = true;
		attempt().succeed(response, this.reservation, isFullyRead());
	}

	private boolean isEndDefined() {
		int status = this.responseHead.status();
		return this.protocol.allowsCloseDelimitedBody() || this.responseHead.headers().contains(Headers.CONTENT_LENGTH)
				|| this.responseHead.headers().contains(Headers.TRANSFER_ENCODING) || status == STATUS_NO_CONTENT
				|| status == STATUS_NOT_MODIFIED;
	}

}
