package org.cyclamenstall.internal.policy.placement;

import java.nio.charset.StandardCharsets;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Computes rendezvous hashing scores. All daemons derive the same order of hosts for a
 * key, and adding or removing a host moves only the keys of that host.
 */
final class Rendezvous {

	private Rendezvous() {
	}

	static long score(String key, String host) {
		byte[] bytes = (key + '/' + host).getBytes(StandardCharsets.UTF_8);
		return MurmurHash3.hash128x64(bytes)[0];
	}

}
