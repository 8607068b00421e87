package org.cyclamenstall.internal.policy;

import java.util.ArrayList;
import java.util.List;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Collects calls to listeners while the controller's lock is held; they are made after
 * its release. A listener that throws keeps no other from being called. Not thread-safe:
 * the controller's lock guards it.
 */
public final class Outbox {

	private static final Logger logger = LogManager.getLogger(Outbox.class);

	private List<Runnable> calls = new ArrayList<>();

	/**
	 * Adds a call.
	 * @param call the call
	 */
	public void add(Runnable call) {
		this.calls.add(call);
	}

	/**
	 * Takes the calls that were added.
	 * @return the calls in order
	 */
	public List<Runnable> take() {
		if (this.calls.isEmpty()) {
			return List.of();
		}
		List<Runnable> taken = this.calls;
		this.calls = new ArrayList<>();
		return taken;
	}

	/**
	 * Makes calls.
	 * @param calls the calls
	 */
	public static void deliver(List<Runnable> calls) {
		for (Runnable call : calls) {
			try {
				call.run();
			}
			catch (RuntimeException ex) {
				logger.error("A listener failed", ex);
			}
		}
	}

}
