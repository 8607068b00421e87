package org.cyclamenstall.internal.claims;

import java.nio.charset.StandardCharsets;

import org.apache.commons.codec.digest.DigestUtils;
import org.cyclamenstall.claims.ClaimRequest;

/**
 * Builds the store keys of claim records. A hash of account, entry and idempotency key
 * distributes the records evenly over shards that can be listed one at a time. Immutable.
 */
final class ClaimKeys {

	/** Number of shards: one for each value of the first digits of the hash. */
	static final int SHARDS = 4_096;

	private static final int SHARD_HEX_DIGITS = 3;

	private final String claimsPrefix;

	ClaimKeys(String prefix) {
		this.claimsPrefix = prefix + "/claims/";
	}

	String key(ClaimRequest request) {
		String hash = hash(request);
		return this.claimsPrefix + hash.substring(0, SHARD_HEX_DIGITS) + "/" + hash.substring(SHARD_HEX_DIGITS);
	}

	String shardPrefix(int shard) {
		return this.claimsPrefix + String.format("%0" + SHARD_HEX_DIGITS + "x", shard) + "/";
	}

	private static String hash(ClaimRequest request) {
		String input = request.account().length() + ":" + request.account() + request.entry().length() + ":"
				+ request.entry() + request.idempotencyKey();
		return DigestUtils.sha256Hex(input.getBytes(StandardCharsets.UTF_8));
	}

}
