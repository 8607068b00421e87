package org.cyclamenstall.standin.site;

import org.cyclamenstall.settings.ClaimSettings;
import org.cyclamenstall.settings.PolicySettings;
import org.cyclamenstall.settings.ShutdownSettings;
import org.cyclamenstall.standin.engine.EngineOptions;

/**
 * Holds the sizes and bounds of a site. Immutable.
 *
 * @param daemons the number of daemons
 * @param engines the number of engines
 * @param services the number of plain services
 * @param engineOptions the size and speed of each engine
 * @param policy the policies of each daemon
 * @param claims the bounds on claims of each daemon
 * @param shutdown the bounds on a graceful shutdown of each daemon
 * @param storeTimeoutMillis the longest wait of a daemon for the store, in milliseconds
 * @param exchangeMillis the pause between two exchanges with a peer, in milliseconds
 * @param pollMillis the pause between two reads of the host list, in milliseconds
 */
public record SiteSettings(int daemons, int engines, int services, EngineOptions engineOptions, PolicySettings policy,
		ClaimSettings claims, ShutdownSettings shutdown, int storeTimeoutMillis, int exchangeMillis, int pollMillis) {

	/** Holds a small site with short bounds. */
	public static final SiteSettings SMALL = new SiteSettings(2, 2, 2, engine(), PolicySettings.DEFAULTS,
			ClaimSettings.DEFAULTS, new ShutdownSettings(500, 120), 1_000, 200, 200);

	/**
	 * Returns these settings with another number of daemons.
	 * @param number the number of daemons
	 * @return the settings
	 */
	public SiteSettings withDaemons(int number) {
		return new SiteSettings(number, this.engines, this.services, this.engineOptions, this.policy, this.claims,
				this.shutdown, this.storeTimeoutMillis, this.exchangeMillis, this.pollMillis);
	}

	/**
	 * Returns these settings with other numbers of upstreams.
	 * @param engineNumber the number of engines
	 * @param serviceNumber the number of plain services
	 * @return the settings
	 */
	public SiteSettings withUpstreams(int engineNumber, int serviceNumber) {
		return new SiteSettings(this.daemons, engineNumber, serviceNumber, this.engineOptions, this.policy, this.claims,
				this.shutdown, this.storeTimeoutMillis, this.exchangeMillis, this.pollMillis);
	}

	/**
	 * Returns these settings with other engines.
	 * @param options the size and speed of each engine
	 * @return the settings
	 */
	public SiteSettings withEngineOptions(EngineOptions options) {
		return new SiteSettings(this.daemons, this.engines, this.services, options, this.policy, this.claims,
				this.shutdown, this.storeTimeoutMillis, this.exchangeMillis, this.pollMillis);
	}

	/**
	 * Returns these settings with other policies.
	 * @param policies the policies of each daemon
	 * @return the settings
	 */
	public SiteSettings withPolicy(PolicySettings policies) {
		return new SiteSettings(this.daemons, this.engines, this.services, this.engineOptions, policies, this.claims,
				this.shutdown, this.storeTimeoutMillis, this.exchangeMillis, this.pollMillis);
	}

	/**
	 * Returns these settings with other bounds on claims.
	 * @param bounds the bounds of each daemon
	 * @return the settings
	 */
	public SiteSettings withClaims(ClaimSettings bounds) {
		return new SiteSettings(this.daemons, this.engines, this.services, this.engineOptions, this.policy, bounds,
				this.shutdown, this.storeTimeoutMillis, this.exchangeMillis, this.pollMillis);
	}

	/**
	 * Returns these settings with other bounds on a graceful shutdown.
	 * @param bounds the bounds of each daemon
	 * @return the settings
	 */
	public SiteSettings withShutdown(ShutdownSettings bounds) {
		return new SiteSettings(this.daemons, this.engines, this.services, this.engineOptions, this.policy, this.claims,
				bounds, this.storeTimeoutMillis, this.exchangeMillis, this.pollMillis);
	}

	private static EngineOptions engine() {
		return new EngineOptions(8, 64, 5.0, 0.5, 100_000.0, null, 100, null, null, null);
	}

}
