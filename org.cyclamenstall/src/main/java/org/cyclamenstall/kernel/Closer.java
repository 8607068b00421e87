package org.cyclamenstall.kernel;

import java.util.ArrayDeque;
import java.util.Deque;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Closes registered resources in reverse order of registration. A failure to close one
 * resource is logged and does not prevent the others from being closed. Thread-safe;
 * closing twice has no effect.
 */
public final class Closer implements AutoCloseable {

	private static final Logger logger = LogManager.getLogger(Closer.class);

	private final Deque<AutoCloseable> resources = new ArrayDeque<>();

	/**
	 * Registers a resource.
	 * @param <T> the type of resource
	 * @param resource the resource to close later
	 * @return the same resource
	 */
	public synchronized <T extends AutoCloseable> T register(T resource) {
		this.resources.push(resource);
		return resource;
	}

	@Override
	public void close() {
		for (AutoCloseable resource = pollNext(); resource != null; resource = pollNext()) {
			try {
				resource.close();
			}
			catch (Exception ex) {
				logger.warn("Failed to close {}", resource, ex);
			}
		}
	}

	private synchronized @Nullable AutoCloseable pollNext() {
		return this.resources.poll();
	}

}
