package org.cyclamenstall.internal.policy.limits;

import java.util.HashMap;
import java.util.Map;

import org.cyclamenstall.catalogue.CatalogueEntry;
import org.cyclamenstall.catalogue.Limits;
import org.cyclamenstall.errors.ErrorKind;
import org.jspecify.annotations.Nullable;

/**
 * Admits requests within this daemon's share of the limits of their entry and client
 * account. A request takes from both or from none. Not thread-safe: the controller's lock
 * guards it.
 */
public final class LimitBook {

	private final Map<String, SubjectLimits> subjects = new HashMap<>();

	private final Map<String, Limits> limitsByName = new HashMap<>();

	private final LimitShare share;

	private final PeerDemand peers;

	/**
	 * Creates a book without use.
	 * @param share divides each limit among the daemons
	 * @param peers the demand of the daemons
	 */
	public LimitBook(LimitShare share, PeerDemand peers) {
		this.share = share;
		this.peers = peers;
	}

	/**
	 * Admits a request if all its limits allow it.
	 * @param entry the catalogue entry
	 * @param account the client account
	 * @param tokens the expected tokens, prompt included
	 * @param nowNanos the time on the monotonic clock
	 * @return the refusal, or {@code null} if the request is admitted
	 */
	public @Nullable ErrorKind admit(CatalogueEntry entry, CatalogueEntry account, double tokens, long nowNanos) {
		SubjectLimits ofEntry = subject(entry);
		SubjectLimits ofAccount = subject(account);
		ofEntry.offered(tokens, nowNanos);
		ofAccount.offered(tokens, nowNanos);
		ErrorKind refusal = ofAccount.check(account.effectiveLimits(), tokens, nowNanos);
		if (refusal == null) {
			refusal = ofEntry.check(entry.effectiveLimits(), tokens, nowNanos);
		}
		if (refusal == null) {
			ofEntry.take(tokens);
			ofAccount.take(tokens);
		}
		return refusal;
	}

	/**
	 * Charges tokens beyond those that were expected; a negative number gives back.
	 * @param entry the catalogue entry
	 * @param account the client account
	 * @param tokens the tokens
	 */
	public void charge(CatalogueEntry entry, CatalogueEntry account, double tokens) {
		subject(entry).charge(tokens);
		subject(account).charge(tokens);
	}

	/**
	 * Ends the use of a request that ran.
	 * @param entry the catalogue entry
	 * @param account the client account
	 */
	public void release(CatalogueEntry entry, CatalogueEntry account) {
		subject(entry).release();
		subject(account).release();
	}

	/**
	 * Gives back everything that a request took and did not use.
	 * @param entry the catalogue entry
	 * @param account the client account
	 * @param tokens the tokens that it took
	 */
	public void cancel(CatalogueEntry entry, CatalogueEntry account, double tokens) {
		subject(entry).cancel(tokens);
		subject(account).cancel(tokens);
	}

	/**
	 * Adds the demand on every limit to a report.
	 * @param demandByLimit the report
	 * @param nowNanos the time on the monotonic clock
	 */
	public void addDemand(Map<String, Double> demandByLimit, long nowNanos) {
		this.subjects.forEach((name, subject) -> subject.addDemand(this.limitsByName.getOrDefault(name, Limits.NONE),
				demandByLimit, nowNanos));
	}

	private SubjectLimits subject(CatalogueEntry entry) {
		SubjectLimits subject = this.subjects.get(entry.name());
		if (subject == null) {
			subject = new SubjectLimits(entry.name(), this.share, this.peers);
			this.subjects.put(entry.name(), subject);
		}
		this.limitsByName.put(entry.name(), entry.effectiveLimits());
		return subject;
	}

}
