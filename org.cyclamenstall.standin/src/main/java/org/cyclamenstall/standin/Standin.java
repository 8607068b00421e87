package org.cyclamenstall.standin;

import org.cyclamenstall.standin.http.StandinServer;

/**
 * Takes the place of one system around the daemons. It listens from its construction
 * until it is closed. Thread-safe.
 */
public interface Standin extends AutoCloseable {

	/**
	 * Returns the name.
	 * @return the name, unique among the stand-ins of a site
	 */
	String name();

	/**
	 * Returns the server that it listens with.
	 * @return the server
	 */
	StandinServer server();

	/**
	 * Returns the address that it listens on.
	 * @return the IP number
	 */
	default String address() {
		return server().address();
	}

	/**
	 * Returns the port of the service.
	 * @return the bound TCP port, which stays the same while the service is down
	 */
	default int port() {
		return server().port();
	}

	/**
	 * Returns the port that takes control requests also while the service is down.
	 * @return the bound TCP port
	 */
	default int controlPort() {
		return server().controlPort();
	}

	@Override
	void close();

}
