package org.cyclamenstall.routes;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * One version of the configuration of a deployment, with the lookups that request
 * processing needs. Immutable and therefore thread-safe.
 */
public final class RouteTable {

	private final long version;

	private final Map<String, List<Route>> routesByVirtualHost;

	private final Map<String, RouteAccount> accountsByApiKey = new HashMap<>();

	private final Map<String, UpstreamService> services;

	private final ConnectionLimits connectionLimits;

	private final int routeCount;

	private final boolean requiresApiKeys;

	/**
	 * Creates a table.
	 * @param version the version of the configuration
	 * @param routes the routes
	 * @param accounts the client accounts
	 * @param requiresApiKeys whether requests need an API key unless their route is
	 * public; without an account, such requests are refused then
	 * @param services the upstream services; the last one of several with the same name
	 * takes effect
	 * @param connectionLimits the limits on callers
	 */
	public RouteTable(long version, Collection<Route> routes, Collection<RouteAccount> accounts,
			boolean requiresApiKeys, Collection<UpstreamService> services, ConnectionLimits connectionLimits) {
		this.version = version;
		this.routeCount = routes.size();
		this.requiresApiKeys = requiresApiKeys;
		this.routesByVirtualHost = routes.stream()
			.sorted(Comparator.comparingInt(RouteTable::prefixLength).reversed())
			.collect(Collectors.groupingBy((route) -> route.options().virtualHost()));
		accounts
			.forEach((account) -> account.apiKeys().forEach((apiKey) -> this.accountsByApiKey.put(apiKey, account)));
		this.services = services.stream()
			.collect(Collectors.toUnmodifiableMap(UpstreamService::name, (service) -> service,
					(first, second) -> second));
		this.connectionLimits = connectionLimits;
	}

	/**
	 * Returns the version of the configuration.
	 * @return the version
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the number of routes.
	 * @return the count
	 */
	public int routeCount() {
		return this.routeCount;
	}

	/**
	 * Finds the route with the longest matching path prefix.
	 * @param virtualHost the host name of the request, without a port
	 * @param path the path of the request
	 * @return the route, or empty if none matches
	 */
	public Optional<Route> route(String virtualHost, String path) {
		return this.routesByVirtualHost.getOrDefault(virtualHost, List.of())
			.stream()
			.filter((route) -> path.startsWith(route.options().pathPrefix()))
			.findFirst();
	}

	/**
	 * Returns whether requests need an API key unless their route is public.
	 * @return {@code true} if the configuration defines client accounts, even if there
	 * are none at present
	 */
	public boolean requiresApiKeys() {
		return this.requiresApiKeys;
	}

	/**
	 * Finds the client account of an API key.
	 * @param apiKey the key
	 * @return the account, or empty if the key is unknown
	 */
	public Optional<RouteAccount> account(String apiKey) {
		return Optional.ofNullable(this.accountsByApiKey.get(apiKey));
	}

	/**
	 * Returns the upstream services by name.
	 * @return the services
	 */
	public Map<String, UpstreamService> services() {
		return this.services;
	}

	/**
	 * Returns the limits on callers.
	 * @return the limits
	 */
	public ConnectionLimits connectionLimits() {
		return this.connectionLimits;
	}

	private static int prefixLength(Route route) {
		return route.options().pathPrefix().length();
	}

}
