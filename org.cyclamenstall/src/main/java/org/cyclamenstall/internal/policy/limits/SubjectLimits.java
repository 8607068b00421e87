package org.cyclamenstall.internal.policy.limits;

import java.util.Map;

import org.cyclamenstall.catalogue.Limits;
import org.cyclamenstall.errors.ErrorKind;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the usage of one catalogue entry or client account on this daemon and checks it
 * against this daemon's share of the limits. Not thread-safe.
 */
final class SubjectLimits {

	private final SharedLimit requestRateLimit;

	private final SharedLimit tokenRateLimit;

	private final SharedLimit concurrencyLimit;

	private final TokenBucket requestBucket = new TokenBucket(1);

	private final TokenBucket tokenBucket = new TokenBucket(1);

	private final RateMeter offeredRequestRate = new RateMeter();

	private final RateMeter offeredTokenRate = new RateMeter();

	private final RateMeter concurrencyRefusalRate = new RateMeter();

	private int unfinishedRequests;

	SubjectLimits(String name, ShareAllocator allocator, DemandTracker demandTracker) {
		this.requestRateLimit = new SharedLimit("requests/" + name, allocator, demandTracker);
		this.tokenRateLimit = new SharedLimit("tokens/" + name, allocator, demandTracker);
		this.concurrencyLimit = new SharedLimit("concurrent/" + name, allocator, demandTracker);
	}

	void recordOffered(double tokenCount, long nowNanos) {
		this.offeredRequestRate.add(1, nowNanos);
		this.offeredTokenRate.add(tokenCount, nowNanos);
	}

	@Nullable ErrorKind check(Limits limits, double tokenCount, long nowNanos) {
		if (limits.concurrentRequests() != null
				&& this.unfinishedRequests >= this.concurrencyLimit.roundedShare(limits.concurrentRequests())) {
			this.concurrencyRefusalRate.add(1, nowNanos);
			return ErrorKind.CONCURRENCY_LIMITED;
		}
		if (!hasCapacity(this.requestBucket, this.requestRateLimit, limits.requestsPerSecond(), 1, nowNanos)) {
			return ErrorKind.REQUEST_RATE_LIMITED;
		}
		if (!hasCapacity(this.tokenBucket, this.tokenRateLimit, limits.tokensPerSecond(), tokenCount, nowNanos)) {
			return ErrorKind.TOKEN_RATE_LIMITED;
		}
		return null;
	}

	private static boolean hasCapacity(TokenBucket bucket, SharedLimit shared, @Nullable Double limit, double amount,
			long nowNanos) {
		if (limit == null) {
			bucket.clear();
			return true;
		}
		bucket.refill(shared.share(limit), nowNanos);
		return bucket.hasTokens(amount);
	}

	void reserve(double tokenCount) {
		this.unfinishedRequests++;
		this.requestBucket.consume(1);
		this.tokenBucket.consume(tokenCount);
	}

	void charge(double tokenCount) {
		this.tokenBucket.consume(tokenCount);
	}

	void release() {
		this.unfinishedRequests--;
	}

	void cancel(double tokenCount) {
		this.unfinishedRequests--;
		this.requestBucket.consume(-1);
		this.tokenBucket.consume(-tokenCount);
	}

	void addDemand(Limits limits, Map<String, Double> demandByLimit, long nowNanos) {
		putDemand(demandByLimit, this.requestRateLimit, limits.requestsPerSecond() != null,
				this.offeredRequestRate.ratePerSecond(nowNanos));
		putDemand(demandByLimit, this.tokenRateLimit, limits.tokensPerSecond() != null,
				this.offeredTokenRate.ratePerSecond(nowNanos));
		putDemand(demandByLimit, this.concurrencyLimit, limits.concurrentRequests() != null,
				this.unfinishedRequests + this.concurrencyRefusalRate.ratePerSecond(nowNanos));
	}

	private static void putDemand(Map<String, Double> demandByLimit, SharedLimit limit, boolean limited,
			double demand) {
		if (limited && demand > SharedLimit.MINIMUM_REPORTED_DEMAND) {
			demandByLimit.put(limit.name(), demand);
		}
	}

}
