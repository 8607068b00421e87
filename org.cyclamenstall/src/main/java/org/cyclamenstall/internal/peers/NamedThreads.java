package org.cyclamenstall.internal.peers;

import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Creates daemon threads with a common name. Thread-safe.
 */
final class NamedThreads implements ThreadFactory {

	private final String name;

	private final AtomicInteger count = new AtomicInteger();

	NamedThreads(String name) {
		this.name = name;
	}

	@Override
	public Thread newThread(Runnable task) {
		Thread thread = new Thread(task, this.name + "-" + this.count.incrementAndGet());
		thread.setDaemon(true);
		return thread;
	}

}
