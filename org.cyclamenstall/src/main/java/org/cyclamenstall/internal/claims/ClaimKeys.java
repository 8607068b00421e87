package org.cyclamenstall.internal.claims;

import java.nio.charset.StandardCharsets;

import org.apache.commons.codec.digest.DigestUtils;
import org.cyclamenstall.claims.ClaimRequest;

/**
 * Names the records of claims in the store. The hash of account, entry and key spreads
 * them evenly over shards that can be listed one by one. Immutable.
 */
final class ClaimKeys {

	/** The number of shards. */
	static final int SHARDS = 4_096;

	private static final int SHARD_DIGITS = 3;

	private final String root;

	ClaimKeys(String prefix) {
		this.root = prefix + "/claims/";
	}

	String key(ClaimRequest request) {
		String hash = hash(request);
		return this.root + hash.substring(0, SHARD_DIGITS) + "/" + hash.substring(SHARD_DIGITS);
	}

	String shardPrefix(int shard) {
		return this.root + String.format("%0" + SHARD_DIGITS + "x", shard) + "/";
	}

	private static String hash(ClaimRequest request) {
		String joined = request.account().length() + ":" + request.account() + request.entry().length() + ":"
				+ request.entry() + request.idempotencyKey();
		return DigestUtils.sha256Hex(joined.getBytes(StandardCharsets.UTF_8));
	}

}
