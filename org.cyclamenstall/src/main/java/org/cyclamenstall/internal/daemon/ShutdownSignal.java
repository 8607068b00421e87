package org.cyclamenstall.internal.daemon;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import sun.misc.Signal;

/**
 * Waits for the signals that end a daemon: the first asks for a graceful shutdown, the
 * second cuts it short. Thread-safe.
 */
public final class ShutdownSignal {

	private final CountDownLatch first = new CountDownLatch(1);

	private final CountDownLatch second = new CountDownLatch(1);

	/**
	 * Takes over SIGTERM and SIGINT.
	 * @return the signal to wait on
	 */
	public static ShutdownSignal install() {
		ShutdownSignal signal = new ShutdownSignal();
		Signal.handle(new Signal("TERM"), (received) -> signal.raise());
		Signal.handle(new Signal("INT"), (received) -> signal.raise());
		return signal;
	}

	/**
	 * Raises the signal.
	 */
	public synchronized void raise() {
		if (this.first.getCount() > 0) {
			this.first.countDown();
		}
		else {
			this.second.countDown();
		}
	}

	/**
	 * Waits for the first signal.
	 */
	public void await() {
		try {
			this.first.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Waits for the first signal.
	 * @param wait the longest wait
	 * @return whether it was raised
	 */
	public boolean await(Duration wait) {
		try {
			return this.first.await(wait.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return true;
		}
	}

	/**
	 * Waits for the second signal.
	 * @param wait the longest wait
	 * @return whether it was raised
	 */
	boolean awaitSecond(Duration wait) {
		try {
			return this.second.await(wait.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return true;
		}
	}

}
