package org.cyclamenstall.internal.metering;

import java.time.Duration;

import org.cyclamenstall.internal.kernel.EssentialThread;
import org.cyclamenstall.kernel.Service;
import org.jspecify.annotations.Nullable;

/**
 * Runs the {@link WindowReporter} at intervals on a thread of its own, because its calls
 * block. Thread-safe.
 */
public final class UsageReporting implements Service {

	private static final Duration INTERVAL = Duration.ofMillis(500);

	private final WindowReporter reporter;

	private volatile boolean closed;

	private @Nullable Thread thread;

	/**
	 * Creates a service.
	 * @param reporter the reporter, used on the thread of this service only
	 */
	public UsageReporting(WindowReporter reporter) {
		this.reporter = reporter;
	}

	@Override
	public void start() {
		this.thread = EssentialThread.start("usage-reports", this::run, () -> this.closed);
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
			this.reporter.run();
			try {
				Thread.sleep(INTERVAL.toMillis());
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
		}
	}

}
