package org.cyclamenstall.standin.service;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.server.HttpServerExchange;
import org.xnio.channels.StreamSinkChannel;

/**
 * Sends only the beginning of a response, so that the connection can be closed before the
 * response is complete.
 */
final class TruncatedResponse {

	private TruncatedResponse() {
	}

	/**
	 * Sends the first part of a response whose declared content length is larger.
	 * @param exchange the exchange of the request
	 * @param part the part to send
	 * @param onFlushed called after the part was flushed or the connection failed
	 */
	static void send(HttpServerExchange exchange, ByteBuffer part, Runnable onFlushed) {
		StreamSinkChannel channel = exchange.getResponseChannel();
		channel.getWriteSetter().set((ready) -> writeAndFlush(ready, part, onFlushed));
		writeAndFlush(channel, part, onFlushed);
	}

	private static void writeAndFlush(StreamSinkChannel channel, ByteBuffer part, Runnable onFlushed) {
		try {
			if (part.hasRemaining()) {
				channel.write(part);
			}
			if (part.hasRemaining() || !channel.flush()) {
				channel.resumeWrites();
				return;
			}
		}
		catch (IOException ex) {
			channel.suspendWrites();
		}
		onFlushed.run();
	}

}
