package org.cyclamenstall.internal.kernel;

import java.time.Duration;

import org.cyclamenstall.kernel.Service;
import org.jspecify.annotations.Nullable;

/**
 * Runs a task at intervals on an {@link EssentialThread} of its own, because the task may
 * block. Thread-safe.
 */
public final class PeriodicTask implements Service {

	private final String name;

	private final Duration interval;

	private final Runnable task;

	private volatile boolean closed;

	private @Nullable Thread thread;

	/**
	 * Creates a service.
	 * @param name the name of the thread
	 * @param interval the time from the end of a run to the start of the next one
	 * @param task the task, run on the thread of this service only
	 */
	public PeriodicTask(String name, Duration interval, Runnable task) {
		this.name = name;
		this.interval = interval;
		this.task = task;
	}

	@Override
	public void start() {
		this.thread = EssentialThread.start(this.name, this::run, () -> this.closed);
	}

	@Override
	public void close() {
		this.closed = true;
		if (this.thread != null) {
			this.thread.interrupt();
		}
	}

	private void run() {
		while (!this.closed) {
			this.task.run();
			try {
				Thread.sleep(this.interval.toMillis());
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				this.closed = true;
			}
		}
	}

}
