package org.cyclamenstall.internal.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

import io.undertow.client.ClientConnection;
import io.undertow.util.Attachable;
import io.undertow.util.AttachmentKey;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.Conduits;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Passes the bytes of responses to the parser of the client only after
 * {@link ResponseFraming} has accepted them. The parser is lenient: it gathers headers
 * and trailers without a limit, and accepts lengths and chunks that are none. A read of
 * bytes that are not accepted fails, which closes the connection; bytes after the end of
 * a response are dropped. Used on the I/O thread of the connection.
 */
public final class VerifiedResponseSource extends AbstractStreamSourceConduit<StreamSourceConduit> {

	private static final AttachmentKey<VerifiedResponseSource> KEY = AttachmentKey.create(VerifiedResponseSource.class);

	private final ResponseFraming framing = new ResponseFraming();

	VerifiedResponseSource(StreamSourceConduit next) {
		super(next);
	}

	/**
	 * Returns the source of a connection.
	 * @param connection a connection of {@link LimitedHttpClient}
	 * @return its source
	 */
	public static VerifiedResponseSource of(ClientConnection connection) {
		return ((Attachable) connection).getAttachment(KEY);
	}

	/**
	 * Expects the response to a request. Called before the request is sent.
	 * @param method the method of the request
	 */
	public void expectResponse(HttpString method) {
		this.framing.expectResponse(Methods.HEAD.equals(method));
	}

	/**
	 * Returns whether the response was received to its end.
	 * @param receivedBodyBytes the number of bytes of the body that the reader received
	 * @return {@code true} if the response is complete and has a body of this length
	 */
	public boolean isComplete(long receivedBodyBytes) {
		return this.framing.isComplete(receivedBodyBytes);
	}

	/**
	 * Returns whether the status or the request excludes a body, whatever the fields say.
	 * @return {@code true} for a complete response without a body
	 */
	public boolean hasNoBody() {
		return this.framing.hasNoBody();
	}

	/**
	 * Returns whether only the end of the connection marked the end of the response.
	 * @return {@code true} for a response without a length
	 */
	public boolean isEndedByClose() {
		return this.framing.isEndedByClose();
	}

	/**
	 * Returns whether another request may be sent on the connection.
	 * @return {@code true} if nothing but complete responses was received
	 */
	public boolean isReusable() {
		return this.framing.isReusable();
	}

	@Override
	public int read(ByteBuffer target) throws IOException {
		int start = target.position();
		int count = readUnverified(target);
		if (count < 0) {
			this.framing.acceptEnd();
			return count;
		}
		if (count == 0) {
			return count;
		}
		int end = this.framing.accept(target, start, start + count);
		target.position(end);
		return end - start;
	}

	@Override
	public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
		for (int index = offset; index < offset + length; index++) {
			if (targets[index].hasRemaining()) {
				return read(targets[index]);
			}
		}
		return 0;
	}

	@Override
	public long transferTo(long position, long count, FileChannel target) throws IOException {
		return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
	}

	@Override
	public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target) throws IOException {
		return Conduits.transfer(this, count, throughBuffer, target);
	}

	private int readUnverified(ByteBuffer target) throws IOException {
		try {
			return super.read(target);
		}
		catch (IOException ex) {
			this.framing.markBroken();
			throw ex;
		}
	}

	void attachTo(ClientConnection connection) {
		((Attachable) connection).putAttachment(KEY, this);
	}

}
