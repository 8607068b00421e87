package org.cyclamenstall.kernel;

import java.util.LinkedHashMap;
import java.util.Map;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Registry of the services of a daemon by name. Services are started in the order of
 * registration and closed in reverse, so a service must be registered after the services
 * that it looks up. Thread-safe.
 */
public final class ServiceRegistry implements AutoCloseable {

	private static final Logger logger = LogManager.getLogger(ServiceRegistry.class);

	private final Map<String, Service> services = new LinkedHashMap<>();

	private final Closer closer = new Closer();

	/**
	 * Registers a service under a name.
	 * @param <T> the type of service
	 * @param name the unique name
	 * @param service the service
	 * @return the same service
	 * @throws IllegalStateException if the name is already registered
	 */
	public synchronized <T extends Service> T register(String name, T service) {
		if (this.services.putIfAbsent(name, service) != null) {
			throw new IllegalStateException("A service named " + name + " is already registered");
		}
		return service;
	}

	/**
	 * Returns the service of a name and type.
	 * @param <T> the type of service
	 * @param name the name
	 * @param type the type
	 * @return the service
	 * @throws IllegalStateException if no such service is registered
	 */
	public synchronized <T> T find(String name, Class<T> type) {
		Service service = this.services.get(name);
		if (!type.isInstance(service)) {
			throw new IllegalStateException("No service named " + name + " of type " + type.getName());
		}
		return type.cast(service);
	}

	/**
	 * Starts every service in the order of registration. If a service throws an exception
	 * while it starts, it and the services started before it are closed, and the
	 * exception is rethrown.
	 */
	public void start() {
		for (Map.Entry<String, Service> entry : snapshot().entrySet()) {
			logger.debug("Starting service {}", entry.getKey());
			this.closer.register(entry.getValue());
			try {
				entry.getValue().start();
			}
			catch (RuntimeException ex) {
				close();
				throw ex;
			}
		}
	}

	@Override
	public void close() {
		this.closer.close();
	}

	private synchronized Map<String, Service> snapshot() {
		return new LinkedHashMap<>(this.services);
	}

}
