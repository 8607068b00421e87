package org.cyclamenstall.internal.policy.limits;

import java.util.Map;

import org.cyclamenstall.catalogue.Limits;
import org.cyclamenstall.errors.ErrorKind;
import org.jspecify.annotations.Nullable;

/**
 * Meters the use of one entry or client account on this daemon. Not thread-safe.
 */
final class SubjectLimits {

	private final SharedLimit requests;

	private final SharedLimit tokens;

	private final SharedLimit concurrent;

	private final TokenBucket requestBucket = new TokenBucket(1);

	private final TokenBucket tokenBucket = new TokenBucket(1);

	private final RateMeter offeredRequests = new RateMeter();

	private final RateMeter offeredTokens = new RateMeter();

	private final RateMeter refusedConcurrent = new RateMeter();

	private int inUse;

	SubjectLimits(String name, LimitShare share, PeerDemand demand) {
		this.requests = new SharedLimit("requests/" + name, share, demand);
		this.tokens = new SharedLimit("tokens/" + name, share, demand);
		this.concurrent = new SharedLimit("concurrent/" + name, share, demand);
	}

	void offered(double tokenCount, long nowNanos) {
		this.offeredRequests.add(1, nowNanos);
		this.offeredTokens.add(tokenCount, nowNanos);
	}

	@Nullable ErrorKind check(Limits limits, double tokenCount, long nowNanos) {
		if (limits.concurrentRequests() != null
				&& this.inUse >= this.concurrent.wholeShare(limits.concurrentRequests())) {
			this.refusedConcurrent.add(1, nowNanos);
			return ErrorKind.CONCURRENCY_LIMITED;
		}
		if (!has(this.requestBucket, this.requests, limits.requestsPerSecond(), 1, nowNanos)) {
			return ErrorKind.REQUEST_RATE_LIMITED;
		}
		if (!has(this.tokenBucket, this.tokens, limits.tokensPerSecond(), tokenCount, nowNanos)) {
			return ErrorKind.TOKEN_RATE_LIMITED;
		}
		return null;
	}

	private static boolean has(TokenBucket bucket, SharedLimit shared, @Nullable Double limit, double amount,
			long nowNanos) {
		if (limit == null) {
			bucket.clear();
			return true;
		}
		bucket.refill(shared.share(limit), nowNanos);
		return bucket.has(amount);
	}

	void take(double tokenCount) {
		this.inUse++;
		this.requestBucket.take(1);
		this.tokenBucket.take(tokenCount);
	}

	void charge(double tokenCount) {
		this.tokenBucket.take(tokenCount);
	}

	void release() {
		this.inUse--;
	}

	void cancel(double tokenCount) {
		this.inUse--;
		this.requestBucket.take(-1);
		this.tokenBucket.take(-tokenCount);
	}

	void addDemand(Limits limits, Map<String, Double> demandByLimit, long nowNanos) {
		put(demandByLimit, this.requests, limits.requestsPerSecond() != null,
				this.offeredRequests.ratePerSecond(nowNanos));
		put(demandByLimit, this.tokens, limits.tokensPerSecond() != null, this.offeredTokens.ratePerSecond(nowNanos));
		put(demandByLimit, this.concurrent, limits.concurrentRequests() != null,
				this.inUse + this.refusedConcurrent.ratePerSecond(nowNanos));
	}

	private static void put(Map<String, Double> demandByLimit, SharedLimit limit, boolean limited, double demand) {
		if (limited && demand > SharedLimit.LEAST_DEMAND) {
			demandByLimit.put(limit.name(), demand);
		}
	}

}
