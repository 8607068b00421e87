package org.cyclamenstall.lib;

/**
 * Names the services of a daemon in the {@code ServiceRegistry}.
 */
public final class ServiceNames {

	/** The platform's key-value service. */
	public static final String STORE = "store";

	/** The platform's list of hosts. */
	public static final String HOST_LIST = "host-list";

	/** The catalogue in force. */
	public static final String CATALOGUE = "catalogue";

	/** The decisions on traffic. */
	public static final String TRAFFIC = "traffic";

	/** The exchange among daemons. */
	public static final String PEERS = "peers";

	/** The watch on the store's catalogue. */
	public static final String CATALOGUE_WATCHER = "catalogue-watcher";

	/** The claims of named requests. */
	public static final String CLAIMS = "claims";

	/** The deletion of old claims. */
	public static final String CLAIM_RETENTION = "claim-retention";

	/** The operators' port. */
	public static final String OPERATORS = "operators";

	/** The log of events. */
	public static final String EVENTS = "events";

	/** The follower of a watched store. */
	public static final String STORE_FOLLOWER = "store-follower";

	/** The callers' port. */
	public static final String CALLERS = "callers";

	private ServiceNames() {
	}

}
