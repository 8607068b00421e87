package org.cyclamenstall.standin;

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
	 * Returns the address that it listens on.
	 * @return the IP number
	 */
	String address();

	/**
	 * Returns the port of the service.
	 * @return the bound TCP port, which stays the same while the service is down
	 */
	int port();

	/**
	 * Returns the port that takes control requests also while the service is down.
	 * @return the bound TCP port
	 */
	int controlPort();

	@Override
	void close();

}
