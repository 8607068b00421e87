package org.cyclamenstall.kernel;

/**
 * Takes part in the life of a daemon. {@link #start()} and {@link #close()} are each
 * called once, from one thread.
 */
public interface Service extends AutoCloseable {

	/**
	 * Starts the service. Services that this one looked up are started already.
	 */
	default void start() {
	}

	@Override
	default void close() {
	}

}
