package org.cyclamenstall.internal.peers;

import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Creates daemon threads whose names share a prefix. Thread-safe.
 */
final class NamedThreadFactory implements ThreadFactory {

	private final String namePrefix;

	private final AtomicInteger count = new AtomicInteger();

	NamedThreadFactory(String namePrefix) {
		this.namePrefix = namePrefix;
	}

	@Override
	public Thread newThread(Runnable task) {
		Thread thread = new Thread(task, this.namePrefix + "-" + this.count.incrementAndGet());
		thread.setDaemon(true);
		return thread;
	}

}
