package org.cyclamenstall.internal.kernel;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Thread without which the daemon does not work correctly. It never ends silently: if its
 * loop is left by an exception or an error, such as exhausted memory, that is logged and
 * counted, and the loop is started again after a pause. Thread-safe.
 */
public final class EssentialThread {

	private static final Logger logger = LogManager.getLogger(EssentialThread.class);

	private static final long RESTART_DELAY_MILLIS = 100;

	private static final AtomicLong restarts = new AtomicLong();

	private EssentialThread() {
	}

	/**
	 * Starts a daemon thread.
	 * @param name the name of the thread
	 * @param loop runs until its service is closed
	 * @param closed returns whether the service was closed
	 * @return the thread
	 */
	public static Thread start(String name, Runnable loop, BooleanSupplier closed) {
		Thread thread = new Thread(() -> run(name, loop, closed), name);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	/**
	 * Returns how often a loop was started again in this process.
	 * @return the number for all threads
	 */
	public static long restartCount() {
		return restarts.get();
	}

	private static void run(String name, Runnable loop, BooleanSupplier closed) {
		while (!closed.getAsBoolean()) {
			try {
				loop.run();
				return;
			}
			catch (RuntimeException | Error ex) {
				restarts.incrementAndGet();
				logSafely(name, ex);
			}
			pause();
		}
	}

	// The record may need memory that is exhausted.
	private static void logSafely(String name, Throwable cause) {
		try {
			logger.error("Thread {} failed and continues", name, cause);
		}
		catch (RuntimeException | Error ex) {
			restarts.incrementAndGet();
		}
	}

	private static void pause() {
		try {
			TimeUnit.MILLISECONDS.sleep(RESTART_DELAY_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
