package org.cyclamenstall.standin.site;

import java.util.List;

import org.cyclamenstall.settings.ClaimSettings;
import org.cyclamenstall.settings.PolicySettings;
import org.cyclamenstall.settings.ShutdownSettings;
import org.cyclamenstall.standin.engine.EngineOptions;

/**
 * The settings of a site: numbers of processes, policies, limits and intervals.
 * Immutable.
 *
 * @param names the names of the region and the hosts
 * @param daemons the number of daemons
 * @param engines the services whose upstreams are model engines
 * @param services the services whose upstreams are plain services
 * @param engineOptions the capacity and speed of each engine
 * @param policy the policies of each daemon
 * @param claims the claim settings of each daemon
 * @param shutdown the graceful shutdown settings of each daemon
 * @param storeTimeoutMillis the timeout of store calls of a daemon, in milliseconds
 * @param exchangeMillis the interval between two exchanges with a peer, in milliseconds
 * @param pollMillis the interval between two reads of the host list, in milliseconds
 * @param logLevel the minimum log level of the daemons
 */
public record SiteSettings(SiteNames names, int daemons, List<UpstreamGroup> engines, List<UpstreamGroup> services,
		EngineOptions engineOptions, PolicySettings policy, ClaimSettings claims, ShutdownSettings shutdown,
		int storeTimeoutMillis, int exchangeMillis, int pollMillis, String logLevel) {

	/**
	 * A small site with short timeouts and intervals, whose engines generate as many
	 * tokens as requested.
	 */
	public static final SiteSettings SMALL = new SiteSettings(new SiteNames("ro-central", "entry"), 2,
			List.of(new UpstreamGroup("cuptor", 2)), List.of(new UpstreamGroup("ghiseu", 2)), smallEngine(),
			PolicySettings.DEFAULTS, ClaimSettings.DEFAULTS, new ShutdownSettings(500, 120), 1_000, 200, 200, "info");

	/**
	 * Creates settings with the log level {@code info}.
	 * @param names the names of the region and the hosts
	 * @param daemons the number of daemons
	 * @param engines the services whose upstreams are model engines
	 * @param services the services whose upstreams are plain services
	 * @param engineOptions the capacity and speed of each engine
	 * @param policy the policies of each daemon
	 * @param claims the claim settings of each daemon
	 * @param shutdown the graceful shutdown settings of each daemon
	 * @param storeTimeoutMillis the timeout of store calls of a daemon, in milliseconds
	 * @param exchangeMillis the interval between two exchanges with a peer, in
	 * milliseconds
	 * @param pollMillis the interval between two reads of the host list, in milliseconds
	 */
	public SiteSettings(SiteNames names, int daemons, List<UpstreamGroup> engines, List<UpstreamGroup> services,
			EngineOptions engineOptions, PolicySettings policy, ClaimSettings claims, ShutdownSettings shutdown,
			int storeTimeoutMillis, int exchangeMillis, int pollMillis) {
		this(names, daemons, engines, services, engineOptions, policy, claims, shutdown, storeTimeoutMillis,
				exchangeMillis, pollMillis, "info");
	}

	/**
	 * Returns a copy of these settings with other names.
	 * @param newNames the names of the region and the hosts
	 * @return the copy
	 */
	public SiteSettings withNames(SiteNames newNames) {
		return new SiteSettings(newNames, this.daemons, this.engines, this.services, this.engineOptions, this.policy,
				this.claims, this.shutdown, this.storeTimeoutMillis, this.exchangeMillis, this.pollMillis,
				this.logLevel);
	}

	/**
	 * Returns a copy of these settings with another number of daemons.
	 * @param number the number of daemons
	 * @return the copy
	 */
	public SiteSettings withDaemons(int number) {
		return new SiteSettings(this.names, number, this.engines, this.services, this.engineOptions, this.policy,
				this.claims, this.shutdown, this.storeTimeoutMillis, this.exchangeMillis, this.pollMillis,
				this.logLevel);
	}

	/**
	 * Returns a copy of these settings with other upstreams.
	 * @param engineGroups the services whose upstreams are model engines
	 * @param serviceGroups the services whose upstreams are plain services
	 * @return the copy
	 */
	public SiteSettings withUpstreams(List<UpstreamGroup> engineGroups, List<UpstreamGroup> serviceGroups) {
		return new SiteSettings(this.names, this.daemons, engineGroups, serviceGroups, this.engineOptions, this.policy,
				this.claims, this.shutdown, this.storeTimeoutMillis, this.exchangeMillis, this.pollMillis,
				this.logLevel);
	}

	/**
	 * Returns a copy of these settings with other engine options.
	 * @param options the capacity and speed of each engine
	 * @return the copy
	 */
	public SiteSettings withEngineOptions(EngineOptions options) {
		return new SiteSettings(this.names, this.daemons, this.engines, this.services, options, this.policy,
				this.claims, this.shutdown, this.storeTimeoutMillis, this.exchangeMillis, this.pollMillis,
				this.logLevel);
	}

	/**
	 * Returns a copy of these settings with other policies.
	 * @param policies the policies of each daemon
	 * @return the copy
	 */
	public SiteSettings withPolicy(PolicySettings policies) {
		return new SiteSettings(this.names, this.daemons, this.engines, this.services, this.engineOptions, policies,
				this.claims, this.shutdown, this.storeTimeoutMillis, this.exchangeMillis, this.pollMillis,
				this.logLevel);
	}

	/**
	 * Returns a copy of these settings with other claim settings.
	 * @param newClaims the claim settings of each daemon
	 * @return the copy
	 */
	public SiteSettings withClaims(ClaimSettings newClaims) {
		return new SiteSettings(this.names, this.daemons, this.engines, this.services, this.engineOptions, this.policy,
				newClaims, this.shutdown, this.storeTimeoutMillis, this.exchangeMillis, this.pollMillis, this.logLevel);
	}

	/**
	 * Returns a copy of these settings with other graceful shutdown settings.
	 * @param newShutdown the graceful shutdown settings of each daemon
	 * @return the copy
	 */
	public SiteSettings withShutdown(ShutdownSettings newShutdown) {
		return new SiteSettings(this.names, this.daemons, this.engines, this.services, this.engineOptions, this.policy,
				this.claims, newShutdown, this.storeTimeoutMillis, this.exchangeMillis, this.pollMillis, this.logLevel);
	}

	/**
	 * Returns a copy of these settings with another log level.
	 * @param level the minimum log level of the daemons
	 * @return the copy
	 */
	public SiteSettings withLogLevel(String level) {
		return new SiteSettings(this.names, this.daemons, this.engines, this.services, this.engineOptions, this.policy,
				this.claims, this.shutdown, this.storeTimeoutMillis, this.exchangeMillis, this.pollMillis, level);
	}

	private static EngineOptions smallEngine() {
		return new EngineOptions(8, 64, 5.0, 0.5, 100_000.0, null, 100, 100_000, 0.0, null);
	}

}
