package org.cyclamenstall.internal.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Timers of one request. Used on the I/O thread of the exchange.
 */
final class RequestTimers {

	private final List<XnioExecutor.Key> timers = new ArrayList<>();

	private final XnioIoThread thread;

	RequestTimers(XnioIoThread thread) {
		this.thread = thread;
	}

	/**
	 * Schedules a task, which runs unless the timers are cancelled first.
	 * @param delay the delay; a negative delay counts as zero
	 * @param task the task
	 */
	void schedule(Duration delay, Runnable task) {
		this.timers.add(this.thread.executeAfter(task, Math.max(0, delay.toMillis()), TimeUnit.MILLISECONDS));
	}

	void cancelAll() {
		this.timers.forEach(XnioExecutor.Key::remove);
	}

}
