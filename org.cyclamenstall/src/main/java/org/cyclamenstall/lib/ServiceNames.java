package org.cyclamenstall.lib;

/**
 * Names under which the services of a daemon are registered in the
 * {@code ServiceRegistry}.
 */
public final class ServiceNames {

	/** The platform's key-value store. */
	public static final String STORE = "store";

	/** The platform's host list. */
	public static final String HOST_LIST = "host-list";

	/** The active catalogue. */
	public static final String CATALOGUE = "catalogue";

	/** The traffic controller. */
	public static final String TRAFFIC = "traffic";

	/** The exchange with other daemons. */
	public static final String PEERS = "peers";

	/** The watcher of the catalogue in the store. */
	public static final String CATALOGUE_WATCHER = "catalogue-watcher";

	/** The claims of requests with an idempotency key. */
	public static final String CLAIMS = "claims";

	/** The deletion of expired claims. */
	public static final String CLAIM_RETENTION = "claim-retention";

	/** The server of the operator port. */
	public static final String OPERATORS = "operators";

	/** The event log. */
	public static final String EVENTS = "events";

	/** The watcher of the store that holds the routes and the upstream records. */
	public static final String STORE_WATCHER = "store-follower";

	/** The server of the caller port. */
	public static final String CALLERS = "callers";

	/** Exchange of the load among daemons. */
	public static final String LOAD_EXCHANGE = "load-exchange";

	/** Election of the leader of the fleet. */
	public static final String LEADERSHIP = "leadership";

	/** Exchange of the counts of client accounts among daemons. */
	public static final String METERING = "metering";

	/** Reports of the usage of client accounts to the platform. */
	public static final String USAGE_REPORTS = "usage-reports";

	/** Orders of upstreams from the platform. */
	public static final String UPSTREAM_ORDERS = "upstream-orders";

	private ServiceNames() {
	}

}
