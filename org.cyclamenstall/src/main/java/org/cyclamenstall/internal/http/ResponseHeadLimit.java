package org.cyclamenstall.internal.http;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.client.ClientConnection;
import io.undertow.util.Attachable;
import io.undertow.util.AttachmentKey;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Limits the bytes that a server may send before the headers of a response are complete.
 * The parser of the client gathers headers without a limit, so a server that never ends
 * them would exhaust the memory of the daemon. A read beyond the limit fails, which
 * closes the connection. Bytes that arrive while no response is expected count as well.
 * Used on the I/O thread of the connection.
 */
public final class ResponseHeadLimit extends AbstractStreamSourceConduit<StreamSourceConduit> {

	private static final AttachmentKey<ResponseHeadLimit> KEY = AttachmentKey.create(ResponseHeadLimit.class);

	private static final long MAXIMUM_HEAD_BYTES = 65_536;

	private boolean headExpected = true;

	private long headBytes;

	ResponseHeadLimit(StreamSourceConduit next) {
		super(next);
	}

	/**
	 * Starts to count the bytes of a new response.
	 * @param connection a connection of {@link LimitedHttpClient}
	 */
	public static void onRequest(ClientConnection connection) {
		ResponseHeadLimit limit = of(connection);
		limit.headExpected = true;
		limit.headBytes = 0;
	}

	/**
	 * Stops counting: the headers of the response are complete.
	 * @param connection a connection of {@link LimitedHttpClient}
	 */
	public static void onHeadReceived(ClientConnection connection) {
		of(connection).headExpected = false;
	}

	@Override
	public int read(ByteBuffer target) throws IOException {
		int count = super.read(target);
		if (count > 0 && this.headExpected) {
			this.headBytes += count;
			if (this.headBytes > MAXIMUM_HEAD_BYTES) {
				throw new IOException("the headers of a response exceed " + MAXIMUM_HEAD_BYTES + " bytes");
			}
		}
		return count;
	}

	void attachTo(ClientConnection connection) {
		((Attachable) connection).putAttachment(KEY, this);
	}

	private static ResponseHeadLimit of(ClientConnection connection) {
		return ((Attachable) connection).getAttachment(KEY);
	}

}
