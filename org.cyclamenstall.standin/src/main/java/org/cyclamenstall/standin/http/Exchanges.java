package org.cyclamenstall.standin.http;

import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;

/**
 * Holds what several handlers do with a request. Thread-safe.
 */
public final class Exchanges {

	private Exchanges() {
	}

	/**
	 * Goes on with a request on its I/O thread after a delay. Called on the I/O thread.
	 * @param exchange the request
	 * @param delayMillis the delay in milliseconds
	 * @param task what to do
	 */
	public static void later(HttpServerExchange exchange, long delayMillis, Runnable task) {
		if (delayMillis <= 0) {
			task.run();
			return;
		}
		XnioIoThread thread = exchange.getIoThread();
		park(exchange, () -> thread.executeAfter(task, delayMillis, TimeUnit.MILLISECONDS));
	}

	/**
	 * Keeps a request open after its handler returned.
	 * @param exchange the request
	 * @param task what to do once the handler returned; the request ends when something
	 * ends it
	 */
	public static void park(HttpServerExchange exchange, Runnable task) {
		exchange.dispatch(SameThreadExecutor.INSTANCE, task);
	}

	/**
	 * Closes the connection of a request without an answer.
	 * @param exchange the request
	 */
	public static void abort(HttpServerExchange exchange) {
		IoUtils.safeClose(exchange.getConnection());
	}

}
