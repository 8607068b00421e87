package org.cyclamenstall.internal.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;

import io.undertow.server.Connectors;
import io.undertow.server.HttpServerExchange;
import org.cyclamenstall.internal.http.BodyBudget;
import org.jspecify.annotations.Nullable;
import org.xnio.channels.StreamSourceChannel;

/**
 * Receives the body of one request, within a maximum size and within the
 * {@link BodyBudget} of all requests. Memory is reserved before it is allocated: for a
 * body with a declared length at once, for a chunked one as it grows.
 * <p>
 * Invariant: the listener is notified exactly once, unless the exchange ends before the
 * body does. Used on the I/O thread of the exchange.
 */
final class CallerBodyReader {

	/**
	 * Maximum size of one read. The virtual machine keeps a direct buffer of the size of
	 * the largest read for each thread.
	 */
	private static final int READ_BYTES = 16_384;

	private final HttpServerExchange exchange;

	private final int maximumBytes;

	private final BodyBudget.Reservation reservation;

	private final Listener listener;

	/** Detects the end of a body that fills its array. */
	private final ByteBuffer probe = ByteBuffer.allocate(1);

	private byte[] body = {};

	private int size;

	private CallerBodyReader(HttpServerExchange exchange, int maximumBytes, BodyBudget.Reservation reservation,
			Listener listener) {
		this.exchange = exchange;
		this.maximumBytes = maximumBytes;
		this.reservation = reservation;
		this.listener = listener;
	}

	/**
	 * Starts to receive a body. The reservation is not released.
	 * @param exchange the exchange, whose handler is running
	 * @param maximumBytes the maximum size of the body
	 * @param reservation the reservation of the body
	 * @param listener is notified of the end, possibly before this method returns
	 */
	static void start(HttpServerExchange exchange, int maximumBytes, BodyBudget.Reservation reservation,
			Listener listener) {
		new CallerBodyReader(exchange, maximumBytes, reservation, listener).start();
	}

	private void start() {
		long declaredLength = this.exchange.getRequestContentLength();
		if (declaredLength > this.maximumBytes) {
			this.listener.onTooLarge();
			return;
		}
		if (declaredLength > 0 && !tryEnlarge((int) declaredLength)) {
			this.listener.onBudgetExhausted();
			return;
		}
		StreamSourceChannel channel = this.exchange.getRequestChannel();
		if (this.exchange.isRequestComplete() || channel == null) {
			this.listener.onBody(this.body);
			return;
		}
		Runnable end = readAvailable(channel);
		if (end != null) {
			end.run();
			return;
		}
		channel.getReadSetter().set((readable) -> onReadable(channel));
		channel.resumeReads();
	}

	// The server completes an exchange only after calls that it knows of.
	private void onReadable(StreamSourceChannel channel) {
		Runnable end = readAvailable(channel);
		if (end != null) {
			channel.suspendReads();
			Connectors.executeRootHandler((readExchange) -> end.run(), this.exchange);
		}
	}

	/**
	 * Reads what has arrived.
	 * @param channel the channel of the body
	 * @return the notification of the end, or {@code null} if more is to come
	 */
	private @Nullable Runnable readAvailable(StreamSourceChannel channel) {
		try {
			while (true) {
				ByteBuffer target = nextTarget();
				if (target == null) {
					return this.listener::onBudgetExhausted;
				}
				int count = channel.read(target);
				if (count == 0) {
					return null;
				}
				if (count < 0) {
					byte[] received = (this.size == this.body.length) ? this.body : Arrays.copyOf(this.body, this.size);
					return () -> this.listener.onBody(received);
				}
				this.size += count;
				if (this.size > this.maximumBytes) {
					return this.listener::onTooLarge;
				}
			}
		}
		catch (IOException ex) {
			return () -> this.listener.onFailed(ex);
		}
	}

	private @Nullable ByteBuffer nextTarget() {
		boolean full = this.size >= this.body.length;
		if (full && this.exchange.getRequestContentLength() >= 0) {
			return this.probe.clear();
		}
		if (full && !tryEnlarge(Math.min(this.maximumBytes + 1, Math.max(READ_BYTES, 2 * this.body.length)))) {
			return null;
		}
		return ByteBuffer.wrap(this.body, this.size, Math.min(READ_BYTES, this.body.length - this.size));
	}

	private boolean tryEnlarge(int bytes) {
		if (!this.reservation.tryGrow(bytes)) {
			return false;
		}
		this.body = Arrays.copyOf(this.body, bytes);
		return true;
	}

	/**
	 * Receives the outcome.
	 */
	interface Listener {

		/**
		 * Called when the body was received completely.
		 * @param body the body in bytes
		 */
		void onBody(byte[] body);

		/**
		 * Called when the body exceeds its maximum size.
		 */
		void onTooLarge();

		/**
		 * Called when the bodies of other requests take the memory that this body needs.
		 */
		void onBudgetExhausted();

		/**
		 * Called when the connection was lost before the end of the body.
		 * @param ex the cause
		 */
		void onFailed(IOException ex);

	}

}
