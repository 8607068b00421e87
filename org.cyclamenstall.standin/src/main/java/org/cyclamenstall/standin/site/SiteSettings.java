package org.cyclamenstall.standin.site;

import java.util.List;

import org.cyclamenstall.settings.ClaimSettings;
import org.cyclamenstall.settings.PolicySettings;
import org.cyclamenstall.settings.ShutdownSettings;
import org.cyclamenstall.standin.engine.EngineOptions;

/**
 * Holds the sizes and bounds of a site. Immutable.
 *
 * @param names the names of region and hosts
 * @param daemons the number of daemons
 * @param engines the services of engines
 * @param services the plain services
 * @param engineOptions the size and speed of each engine
 * @param policy the policies of each daemon
 * @param claims the bounds on claims of each daemon
 * @param shutdown the bounds on a graceful shutdown of each daemon
 * @param storeTimeoutMillis the longest wait of a daemon for the store, in milliseconds
 * @param exchangeMillis the pause between two exchanges with a peer, in milliseconds
 * @param pollMillis the pause between two reads of the host list, in milliseconds
 * @param logLevel the lowest level that the daemons log
 */
public record SiteSettings(SiteNames names, int daemons, List<UpstreamGroup> engines, List<UpstreamGroup> services,
		EngineOptions engineOptions, PolicySettings policy, ClaimSettings claims, ShutdownSettings shutdown,
		int storeTimeoutMillis, int exchangeMillis, int pollMillis, String logLevel) {

	/**
	 * Holds a small site with short bounds, whose engines make as many tokens as asked.
	 */
	public static final SiteSettings SMALL = new SiteSettings(new SiteNames("ro-central", "entry"), 2,
			List.of(new UpstreamGroup("cuptor", 2)), List.of(new UpstreamGroup("ghiseu", 2)), engine(),
			PolicySettings.DEFAULTS, ClaimSettings.DEFAULTS, new ShutdownSettings(500, 120), 1_000, 200, 200, "info");

	/**
	 * Creates settings whose daemons log from level info.
	 * @param names the names of region and hosts
	 * @param daemons the number of daemons
	 * @param engines the services of engines
	 * @param services the plain services
	 * @param engineOptions the size and speed of each engine
	 * @param policy the policies of each daemon
	 * @param claims the bounds on claims of each daemon
	 * @param shutdown the bounds on a graceful shutdown of each daemon
	 * @param storeTimeoutMillis the longest wait of a daemon for the store, in
	 * milliseconds
	 * @param exchangeMillis the pause between two exchanges with a peer, in milliseconds
	 * @param pollMillis the pause between two reads of the host list, in milliseconds
	 */
	public SiteSettings(SiteNames names, int daemons, List<UpstreamGroup> engines, List<UpstreamGroup> services,
			EngineOptions engineOptions, PolicySettings policy, ClaimSettings claims, ShutdownSettings shutdown,
			int storeTimeoutMillis, int exchangeMillis, int pollMillis) {
		this(names, daemons, engines, services, engineOptions, policy, claims, shutdown, storeTimeoutMillis,
				exchangeMillis, pollMillis, "info");
	}

	/**
	 * Returns these settings with other names.
	 * @param others the names of region and hosts
	 * @return the settings
	 */
	public SiteSettings withNames(SiteNames others) {
		return new SiteSettings(others, this.daemons, this.engines, this.services, this.engineOptions, this.policy,
				this.claims, this.shutdown, this.storeTimeoutMillis, this.exchangeMillis, this.pollMillis,
				this.logLevel);
	}

	/**
	 * Returns these settings with other numbers of daemons.
	 * @param number the number of daemons
	 * @return the settings
	 */
	public SiteSettings withDaemons(int number) {
		return new SiteSettings(this.names, number, this.engines, this.services, this.engineOptions, this.policy,
				this.claims, this.shutdown, this.storeTimeoutMillis, this.exchangeMillis, this.pollMillis,
				this.logLevel);
	}

	/**
	 * Returns these settings with other upstreams.
	 * @param engineGroups the services of engines
	 * @param serviceGroups the plain services
	 * @return the settings
	 */
	public SiteSettings withUpstreams(List<UpstreamGroup> engineGroups, List<UpstreamGroup> serviceGroups) {
		return new SiteSettings(this.names, this.daemons, engineGroups, serviceGroups, this.engineOptions, this.policy,
				this.claims, this.shutdown, this.storeTimeoutMillis, this.exchangeMillis, this.pollMillis,
				this.logLevel);
	}

	/**
	 * Returns these settings with other engines.
	 * @param options the size and speed of each engine
	 * @return the settings
	 */
	public SiteSettings withEngineOptions(EngineOptions options) {
		return new SiteSettings(this.names, this.daemons, this.engines, this.services, options, this.policy,
				this.claims, this.shutdown, this.storeTimeoutMillis, this.exchangeMillis, this.pollMillis,
				this.logLevel);
	}

	/**
	 * Returns these settings with other policies.
	 * @param policies the policies of each daemon
	 * @return the settings
	 */
	public SiteSettings withPolicy(PolicySettings policies) {
		return new SiteSettings(this.names, this.daemons, this.engines, this.services, this.engineOptions, policies,
				this.claims, this.shutdown, this.storeTimeoutMillis, this.exchangeMillis, this.pollMillis,
				this.logLevel);
	}

	/**
	 * Returns these settings with other bounds on claims.
	 * @param bounds the bounds of each daemon
	 * @return the settings
	 */
	public SiteSettings withClaims(ClaimSettings bounds) {
		return new SiteSettings(this.names, this.daemons, this.engines, this.services, this.engineOptions, this.policy,
				bounds, this.shutdown, this.storeTimeoutMillis, this.exchangeMillis, this.pollMillis, this.logLevel);
	}

	/**
	 * Returns these settings with other bounds on a graceful shutdown.
	 * @param bounds the bounds of each daemon
	 * @return the settings
	 */
	public SiteSettings withShutdown(ShutdownSettings bounds) {
		return new SiteSettings(this.names, this.daemons, this.engines, this.services, this.engineOptions, this.policy,
				this.claims, bounds, this.storeTimeoutMillis, this.exchangeMillis, this.pollMillis, this.logLevel);
	}

	/**
	 * Returns these settings with another level of logs.
	 * @param level the lowest level that the daemons log
	 * @return the settings
	 */
	public SiteSettings withLogLevel(String level) {
		return new SiteSettings(this.names, this.daemons, this.engines, this.services, this.engineOptions, this.policy,
				this.claims, this.shutdown, this.storeTimeoutMillis, this.exchangeMillis, this.pollMillis, level);
	}

	private static EngineOptions engine() {
		return new EngineOptions(8, 64, 5.0, 0.5, 100_000.0, null, 100, 100_000, 0.0, null);
	}

}
