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
final class Outbox {

	private static final Logger logger = LogManager.getLogger(Outbox.class);

	private List<Runnable> calls = new ArrayList<>();

	void add(Runnable call) {
		this.calls.add(call);
	}

	List<Runnable> take() {
		if (this.calls.isEmpty()) {
			return List.of();
		}
		List<Runnable> taken = this.calls;
		this.calls = new ArrayList<>();
		return taken;
	}

	static void deliver(List<Runnable> calls) {
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
