package org.cyclamenstall.internal.policy.placement;

import java.nio.charset.StandardCharsets;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Scores pairs of a key and a host, so that all daemons find the same order of hosts for
 * a key, and a host that comes or goes moves only its own keys.
 */
final class Rendezvous {

	private Rendezvous() {
	}

	static long score(String key, String host) {
		byte[] bytes = (key + '/' + host).getBytes(StandardCharsets.UTF_8);
		return MurmurHash3.hash128x64(bytes)[0];
	}

}
