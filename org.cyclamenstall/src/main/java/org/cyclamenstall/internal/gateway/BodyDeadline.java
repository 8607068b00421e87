package org.cyclamenstall.internal.gateway;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpServerExchange;
import org.jspecify.annotations.Nullable;
import org.xnio.XnioExecutor;

/**
 * Bounds the time in which the body of a request arrives. Either the deadline is met or
 * it passes, never both. Used on the I/O thread of the exchange.
 */
final class BodyDeadline {

	private XnioExecutor.@Nullable Key timer;

	private boolean decided;

	private BodyDeadline() {
	}

	/**
	 * Starts the time.
	 * @param exchange the exchange
	 * @param time the longest time
	 * @param passed is run when the deadline passes
	 * @return the deadline
	 */
	static BodyDeadline start(HttpServerExchange exchange, Duration time, Runnable passed) {
		BodyDeadline deadline = new BodyDeadline();
		deadline.timer = exchange.getIoThread().executeAfter(() -> {
			if (!deadline.decided) {
				deadline.decided = true;
				passed.run();
			}
		}, time.toMillis(), TimeUnit.MILLISECONDS);
		return deadline;
	}

	/**
	 * Records that the body arrived or failed.
	 * @return {@code false} if the deadline had passed before
	 */
	boolean met() {
		if (this.decided) {
			return false;
		}
		this.decided = true;
		if (this.timer != null) {
			this.timer.remove();
		}
		return true;
	}

}
