package org.cyclamenstall.standin.service;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.server.HttpServerExchange;
import org.xnio.channels.StreamSinkChannel;

/**
 * Sends the beginning of an answer and then breaks off.
 */
final class CutAnswer {

	private CutAnswer() {
	}

	/**
	 * Sends a part of an answer whose length was declared longer.
	 * @param exchange the request
	 * @param part the part to send
	 * @param then what to do after the part was flushed
	 */
	static void send(HttpServerExchange exchange, ByteBuffer part, Runnable then) {
		StreamSinkChannel channel = exchange.getResponseChannel();
		channel.getWriteSetter().set((ready) -> proceed(ready, part, then));
		proceed(channel, part, then);
	}

	private static void proceed(StreamSinkChannel channel, ByteBuffer part, Runnable then) {
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
		then.run();
	}

}
