package org.cyclamenstall.kernel;

/**
 * Component of a daemon with a lifecycle. {@link #start()} and {@link #close()} are each
 * called at most once, from one thread.
 */
public interface Service extends AutoCloseable {

	/**
	 * Starts the service. Services that it depends on have been started before.
	 */
	default void start() {
	}

	@Override
	default void close() {
	}

}
