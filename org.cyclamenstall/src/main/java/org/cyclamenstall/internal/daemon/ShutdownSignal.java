package org.cyclamenstall.internal.daemon;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import sun.misc.Signal;

/**
 * Receives the termination signals of the process: the first starts a graceful shutdown,
 * the second aborts the wait for open requests. Thread-safe.
 */
public final class ShutdownSignal {

	private final CountDownLatch firstSignal = new CountDownLatch(1);

	private final CountDownLatch secondSignal = new CountDownLatch(1);

	/**
	 * Installs handlers for SIGTERM and SIGINT.
	 * @return the signal that the handlers raise
	 */
	public static ShutdownSignal install() {
		ShutdownSignal signal = new ShutdownSignal();
		Signal.handle(new Signal("TERM"), (received) -> signal.raise());
		Signal.handle(new Signal("INT"), (received) -> signal.raise());
		return signal;
	}

	/**
	 * Raises the signal: the first time for {@link #await()}, afterwards for
	 * {@link #awaitSecond(Duration)}.
	 */
	public synchronized void raise() {
		if (this.firstSignal.getCount() > 0) {
			this.firstSignal.countDown();
		}
		else {
			this.secondSignal.countDown();
		}
	}

	/**
	 * Waits until the signal is raised or the thread is interrupted.
	 */
	public void await() {
		try {
			this.firstSignal.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Waits until the signal is raised or the timeout elapses.
	 * @param timeout the maximum time to wait
	 * @return {@code true} if it was raised or the thread was interrupted
	 */
	public boolean await(Duration timeout) {
		try {
			return this.firstSignal.await(timeout.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return true;
		}
	}

	/**
	 * Waits until the signal is raised a second time or the timeout elapses.
	 * @param timeout the maximum time to wait
	 * @return {@code true} if it was raised or the thread was interrupted
	 */
	boolean awaitSecond(Duration timeout) {
		try {
			return this.secondSignal.await(timeout.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return true;
		}
	}

}
