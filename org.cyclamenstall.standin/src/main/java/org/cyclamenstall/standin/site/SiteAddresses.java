package org.cyclamenstall.standin.site;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Gives the IP numbers of one site, all within one random block of the loopback network,
 * so that sites that run at the same time do not meet. Immutable.
 */
final class SiteAddresses {

	private static final int FIRST_DAEMON = 11;

	private static final int PLATFORM = 100;

	private static final int FIRST_UPSTREAM = 101;

	private static final int PROXIES = 200;

	private static final int BLOCK_VALUES = 254;

	private final String block;

	SiteAddresses(long seed) {
		UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		this.block = "127." + (1 + random.nextInt(BLOCK_VALUES)) + "." + (1 + random.nextInt(BLOCK_VALUES)) + ".";
	}

	String daemon(int index) {
		return this.block + (FIRST_DAEMON + index);
	}

	String platform() {
		return this.block + PLATFORM;
	}

	String upstream(int index) {
		return this.block + (FIRST_UPSTREAM + index);
	}

	String proxies() {
		return this.block + PROXIES;
	}

}
