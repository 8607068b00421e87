package org.cyclamenstall.internal.policy;

import java.util.ArrayList;
import java.util.List;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Collects listener callbacks while the controller's lock is held, so that they can be
 * run after it is released. An exception thrown by one callback does not prevent the
 * others from running. Not thread-safe: guarded by the controller's lock.
 */
public final class DeferredCallbacks {

	private static final Logger logger = LogManager.getLogger(DeferredCallbacks.class);

	private List<Runnable> callbacks = new ArrayList<>();

	/**
	 * Adds a callback.
	 * @param callback the callback
	 */
	public void add(Runnable callback) {
		this.callbacks.add(callback);
	}

	/**
	 * Removes and returns the collected callbacks.
	 * @return the callbacks in the order in which they were added
	 */
	public List<Runnable> drain() {
		if (this.callbacks.isEmpty()) {
			return List.of();
		}
		List<Runnable> drained = this.callbacks;
		this.callbacks = new ArrayList<>();
		return drained;
	}

	/**
	 * Runs callbacks in order and logs exceptions that they throw.
	 * @param callbacks the callbacks
	 */
	public static void runAll(List<Runnable> callbacks) {
		for (Runnable callback : callbacks) {
			try {
				callback.run();
			}
			catch (RuntimeException ex) {
				logger.error("Listener callback threw an exception", ex);
			}
		}
	}

}
