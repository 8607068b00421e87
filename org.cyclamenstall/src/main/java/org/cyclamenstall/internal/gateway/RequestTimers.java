package org.cyclamenstall.internal.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Holds the timers of one request. Used on the I/O thread of the exchange.
 */
final class RequestTimers {

	private final List<XnioExecutor.Key> timers = new ArrayList<>();

	private final XnioIoThread thread;

	RequestTimers(XnioIoThread thread) {
		this.thread = thread;
	}

	/**
	 * Runs a task later, unless the timers are cancelled before.
	 * @param delay the delay; none if it is negative
	 * @param task the task
	 */
	void after(Duration delay, Runnable task) {
		this.timers.add(this.thread.executeAfter(task, Math.max(0, delay.toMillis()), TimeUnit.MILLISECONDS));
	}

	void cancel() {
		this.timers.forEach(XnioExecutor.Key::remove);
	}

}
