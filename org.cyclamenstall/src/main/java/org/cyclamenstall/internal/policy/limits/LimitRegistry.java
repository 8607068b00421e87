package org.cyclamenstall.internal.policy.limits;

import java.util.HashMap;
import java.util.Map;

import org.cyclamenstall.catalogue.CatalogueEntry;
import org.cyclamenstall.catalogue.Limits;
import org.cyclamenstall.errors.ErrorKind;
import org.jspecify.annotations.Nullable;

/**
 * Enforces this daemon's share of the limits of catalogue entries and client accounts. A
 * request is charged to its entry and its account or, if it is refused, to neither. Not
 * thread-safe: guarded by the controller's lock.
 */
public final class LimitRegistry {

	private final Map<String, SubjectLimits> subjects = new HashMap<>();

	private final Map<String, Limits> limitsByName = new HashMap<>();

	private final ShareAllocator allocator;

	private final DemandTracker demandTracker;

	/**
	 * Creates a registry without recorded usage.
	 * @param allocator the allocator that divides each limit among the daemons
	 * @param demandTracker the demand of all daemons
	 */
	public LimitRegistry(ShareAllocator allocator, DemandTracker demandTracker) {
		this.allocator = allocator;
		this.demandTracker = demandTracker;
	}

	/**
	 * Admits a request if all limits of its entry and account allow it.
	 * @param entry the catalogue entry
	 * @param account the client account
	 * @param tokens the expected number of tokens, including the prompt
	 * @param nowNanos the time on the monotonic clock
	 * @return the error kind of the exceeded limit, or {@code null} if the request is
	 * admitted
	 */
	public @Nullable ErrorKind admit(CatalogueEntry entry, CatalogueEntry account, double tokens, long nowNanos) {
		SubjectLimits entryLimits = subject(entry);
		SubjectLimits accountLimits = subject(account);
		entryLimits.recordOffered(tokens, nowNanos);
		accountLimits.recordOffered(tokens, nowNanos);
		ErrorKind refusal = accountLimits.check(account.effectiveLimits(), tokens, nowNanos);
		if (refusal == null) {
			refusal = entryLimits.check(entry.effectiveLimits(), tokens, nowNanos);
		}
		if (refusal == null) {
			entryLimits.reserve(tokens);
			accountLimits.reserve(tokens);
		}
		return refusal;
	}

	/**
	 * Charges the difference between the actual and the reserved tokens.
	 * @param entry the catalogue entry
	 * @param account the client account
	 * @param tokens the number of tokens; a negative number is a refund
	 */
	public void charge(CatalogueEntry entry, CatalogueEntry account, double tokens) {
		subject(entry).charge(tokens);
		subject(account).charge(tokens);
	}

	/**
	 * Releases the concurrency reservation of a finished request for which at least one
	 * attempt was granted.
	 * @param entry the catalogue entry
	 * @param account the client account
	 */
	public void release(CatalogueEntry entry, CatalogueEntry account) {
		subject(entry).release();
		subject(account).release();
	}

	/**
	 * Refunds everything that was reserved for a request for which no attempt was
	 * granted.
	 * @param entry the catalogue entry
	 * @param account the client account
	 * @param tokens the number of tokens reserved at admission
	 */
	public void cancel(CatalogueEntry entry, CatalogueEntry account, double tokens) {
		subject(entry).cancel(tokens);
		subject(account).cancel(tokens);
	}

	/**
	 * Adds the demand on each configured limit to a report. Negligible demand is omitted.
	 * @param demandByLimit the map to add to, keyed by limit name
	 * @param nowNanos the time on the monotonic clock
	 */
	public void addDemand(Map<String, Double> demandByLimit, long nowNanos) {
		this.subjects.forEach((name, subject) -> subject.addDemand(this.limitsByName.getOrDefault(name, Limits.NONE),
				demandByLimit, nowNanos));
	}

	private SubjectLimits subject(CatalogueEntry entry) {
		SubjectLimits subject = this.subjects.get(entry.name());
		if (subject == null) {
			subject = new SubjectLimits(entry.name(), this.allocator, this.demandTracker);
			this.subjects.put(entry.name(), subject);
		}
		this.limitsByName.put(entry.name(), entry.effectiveLimits());
		return subject;
	}

}
