package org.cyclamenstall.standin.site;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Assigns the IP addresses of one site, all from one random /24 block of the loopback
 * network, so that concurrently running sites are unlikely to conflict. Immutable.
 */
final class SiteAddresses {

	private static final int FIRST_DAEMON_OCTET = 11;

	private static final int PLATFORM_OCTET = 100;

	private static final int FIRST_UPSTREAM_OCTET = 101;

	private static final int PROXY_OCTET = 200;

	private static final int OCTET_VALUES = 254;

	private final String block;

	SiteAddresses(long seed) {
		UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		this.block = "127." + (1 + random.nextInt(OCTET_VALUES)) + "." + (1 + random.nextInt(OCTET_VALUES)) + ".";
	}

	String daemon(int index) {
		return this.block + (FIRST_DAEMON_OCTET + index);
	}

	String platform() {
		return this.block + PLATFORM_OCTET;
	}

	String upstream(int index) {
		return this.block + (FIRST_UPSTREAM_OCTET + index);
	}

	String proxies() {
		return this.block + PROXY_OCTET;
	}

}
