package org.cyclamenstall.internal.gateway;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.undertow.server.HttpServerExchange;
import org.jspecify.annotations.Nullable;
import org.xnio.XnioExecutor;

/**
 * Deadline for receiving the body of a request. It is either met or exceeded, never both.
 * Used on the I/O thread of the exchange.
 */
final class BodyDeadline {

	private XnioExecutor.@Nullable Key timer;

	private boolean finished;

	private BodyDeadline() {
	}

	/**
	 * Starts the timer of a new deadline.
	 * @param exchange the exchange
	 * @param timeout the maximum time to receive the body
	 * @param onTimeout called on the I/O thread when the deadline is exceeded
	 * @return the deadline
	 */
	static BodyDeadline start(HttpServerExchange exchange, Duration timeout, Runnable onTimeout) {
		BodyDeadline deadline = new BodyDeadline();
		deadline.timer = exchange.getIoThread().executeAfter(() -> {
			if (!deadline.finished) {
				deadline.finished = true;
				onTimeout.run();
			}
		}, timeout.toMillis(), TimeUnit.MILLISECONDS);
		return deadline;
	}

	/**
	 * Stops the timer, because the body was received or could not be read, or because the
	 * exchange is complete.
	 * @return {@code false} if the deadline was already exceeded or stopped
	 */
	boolean stop() {
		if (this.finished) {
			return false;
		}
		this.finished = true;
		if (this.timer != null) {
			this.timer.remove();
		}
		return true;
	}

	/**
	 * Returns whether the deadline was exceeded or stopped.
	 * @return {@code true} if the timer no longer runs
	 */
	boolean isFinished() {
		return this.finished;
	}

}
