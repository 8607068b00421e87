package org.cyclamenstall.standin;

import org.cyclamenstall.standin.http.StandinServer;

/**
 * Simulation of one outside system that the daemons use. A stand-in listens from its
 * construction until it is closed. Thread-safe.
 */
public interface Standin extends AutoCloseable {

	/**
	 * Returns the name of this stand-in.
	 * @return the name, unique among the stand-ins of a site
	 */
	String name();

	/**
	 * Returns the HTTP server of this stand-in.
	 * @return the server
	 */
	StandinServer server();

	/**
	 * Returns the address that both ports are bound to.
	 * @return the IP address
	 */
	default String address() {
		return server().address();
	}

	/**
	 * Returns the service port.
	 * @return the bound TCP port, which does not change while the service is unavailable
	 */
	default int port() {
		return server().port();
	}

	/**
	 * Returns the control port, which accepts control requests even while the service is
	 * unavailable.
	 * @return the bound TCP port
	 */
	default int controlPort() {
		return server().controlPort();
	}

	@Override
	void close();

}
