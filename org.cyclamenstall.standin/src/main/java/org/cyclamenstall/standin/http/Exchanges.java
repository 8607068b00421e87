package org.cyclamenstall.standin.http;

import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;

/**
 * Operations on HTTP exchanges that several handlers share. Thread-safe.
 */
public final class Exchanges {

	private Exchanges() {
	}

	/**
	 * Runs a task on the I/O thread of an exchange after a delay. Must be called on that
	 * I/O thread.
	 * @param exchange the exchange
	 * @param delayMillis the delay in milliseconds; the task runs immediately if it is
	 * not positive
	 * @param task the task
	 */
	public static void runAfterDelay(HttpServerExchange exchange, long delayMillis, Runnable task) {
		if (delayMillis <= 0) {
			task.run();
			return;
		}
		XnioIoThread thread = exchange.getIoThread();
		runAfterHandler(exchange, () -> thread.executeAfter(task, delayMillis, TimeUnit.MILLISECONDS));
	}

	/**
	 * Runs a task after the handler of an exchange has returned. The exchange stays open
	 * until it is ended explicitly.
	 * @param exchange the exchange
	 * @param task the task
	 */
	public static void runAfterHandler(HttpServerExchange exchange, Runnable task) {
		exchange.dispatch(SameThreadExecutor.INSTANCE, task);
	}

	/**
	 * Closes the connection of an exchange without a response.
	 * @param exchange the exchange
	 */
	public static void closeConnection(HttpServerExchange exchange) {
		IoUtils.safeClose(exchange.getConnection());
	}

}
