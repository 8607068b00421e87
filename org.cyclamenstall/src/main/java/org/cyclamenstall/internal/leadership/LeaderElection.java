package org.cyclamenstall.internal.leadership;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.function.Predicate;

import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenstall.store.ConditionalWriteResult;
import org.cyclamenstall.store.StoreLease;
import org.cyclamenstall.store.StoreRecord;
import org.cyclamenstall.store.StoreVersions;
import org.jspecify.annotations.Nullable;

/**
 * State machine of one candidate. A candidate obtains a lease and writes the record of
 * the leader, bound to the lease, if there is none. The version of the record is the
 * fencing token: it grows with each change of the store, also across restores
 * ({@link StoreVersions}), so no two leaders ever share one. A restore ends the lease of
 * each candidate, and for one lease duration there is no candidate, because a leader that
 * has not learned of the restore may act until its lease would have ended. The caller
 * carries out the actions and reports their outcomes.
 * <p>
 * Invariants: {@link #tokenUntil} returns a token only for a time that ends before the
 * store can end the lease, because the lease is counted from the time at which its last
 * renewal was sent; a candidate that led is no candidate for one lease duration. Performs
 * no I/O. Not thread-safe. Times are in nanoseconds on a clock that includes suspension.
 */
public final class LeaderElection {

	/** Renewals for each lease duration. */
	private static final int RENEWALS_PER_LEASE = 3;

	/** Interval after a call without a response. */
	private static final long RETRY_NANOS = Duration.ofMillis(250).toNanos();

	/** Time by which each standby waits longer than the one before. */
	private static final long STANDBY_DELAY_NANOS = Duration.ofMillis(250).toNanos();

	/** Time for which daemons that are no standbys wait at least. */
	private static final long OTHERS_DELAY_NANOS = Duration.ofMillis(500).toNanos();

	/** Time over which the first candidates of a fleet that starts are spread. */
	private static final long START_SPREAD_NANOS = Duration.ofSeconds(2).toNanos();

	private static final long MAXIMUM_WAIT_NANOS = Duration.ofSeconds(1).toNanos();

	private final Predicate<StoreRecord> isOwnRecord;

	private final UniformRandomProvider random;

	/** Duration of a lease: that of the settings, or less if the store grants less. */
	private long leaseNanos;

	/** Position among the standbys of the last leader, or negative. */
	private int standbyPosition = -1;

	private boolean recordKnown;

	private @Nullable StoreRecord record;

	/** Version of the newest change of the record that is known. */
	private long recordVersion;

	private long candidateAtNanos;

	private long leaseId;

	private long validUntilNanos;

	private long nextCallAtNanos;

	private long token;

	private long unusedLeaseId;

	private boolean resigned;

	private long generation;

	/** Time until which there is no candidate after a restore, valid in a generation. */
	private long noCandidateUntilNanos;

	/**
	 * Creates a candidate.
	 * @param isOwnRecord returns whether a record was written by this candidate with its
	 * current lease
	 * @param leaseDuration the duration of a lease
	 * @param random spreads the candidates
	 * @param nowNanos the time
	 */
	public LeaderElection(Predicate<StoreRecord> isOwnRecord, Duration leaseDuration, UniformRandomProvider random,
			long nowNanos) {
		this.isOwnRecord = isOwnRecord;
		this.leaseNanos = leaseDuration.toNanos();
		this.random = random;
		this.candidateAtNanos = nowNanos + random.nextLong(START_SPREAD_NANOS);
	}

	/**
	 * Returns the next action.
	 * @param nowNanos the time
	 * @return the action
	 */
	public ElectionAction next(long nowNanos) {
		if (this.unusedLeaseId != 0 && StoreVersions.generation(this.unusedLeaseId) == 0) {
			return new ElectionAction.EndLease(this.unusedLeaseId);
		}
		// After a restore, the call could end another lease with the same number. This
		// one ends by itself.
		this.unusedLeaseId = 0;
		if (this.leaseId == 0) {
			return nextWithoutLease(nowNanos);
		}
		if (this.token == 0 && nowNanos - this.validUntilNanos >= 0) {
			// The lease was obtained too long ago to be of use.
			dropLease(nowNanos, RETRY_NANOS);
			return next(nowNanos);
		}
		if (nowNanos - this.nextCallAtNanos < 0) {
			return await(this.nextCallAtNanos - nowNanos);
		}
		return (this.token != 0) ? new ElectionAction.RenewLease(this.leaseId)
				: new ElectionAction.WriteRecord(this.leaseId);
	}

	private ElectionAction nextWithoutLease(long nowNanos) {
		if (this.resigned || !this.recordKnown || this.record != null) {
			return await(MAXIMUM_WAIT_NANOS);
		}
		return (nowNanos - this.candidateAtNanos >= 0) ? new ElectionAction.ObtainLease()
				: await(this.candidateAtNanos - nowNanos);
	}

	private static ElectionAction await(long nanos) {
		return new ElectionAction.Await(Math.min(MAXIMUM_WAIT_NANOS, nanos));
	}

	/**
	 * Records that the store was restored from an older copy. The lease and the record of
	 * the leader are void, whatever the copy contains.
	 * @param newGeneration the generation of the store
	 * @param nowNanos the time
	 */
	public void onStoreRestored(long newGeneration, long nowNanos) {
		if (newGeneration <= this.generation) {
			return;
		}
		this.generation = newGeneration;
		this.leaseId = 0;
		this.unusedLeaseId = 0;
		this.token = 0;
		this.recordKnown = false;
		this.record = null;
		this.noCandidateUntilNanos = nowNanos + this.leaseNanos;
		this.candidateAtNanos = Math.max(this.candidateAtNanos,
				this.noCandidateUntilNanos + this.random.nextLong(OTHERS_DELAY_NANOS));
	}

	/**
	 * Records a lease that was obtained.
	 * @param lease the lease
	 * @param sentAtNanos the time at which the call was sent
	 */
	public void onLeaseObtained(StoreLease lease, long sentAtNanos) {
		if (isVoid(lease.id()) || isNoCandidateAt(sentAtNanos)) {
			return;
		}
		if (this.resigned) {
			this.unusedLeaseId = lease.id();
			return;
		}
		this.leaseId = lease.id();
		this.leaseNanos = Math.min(this.leaseNanos, lease.duration().toNanos());
		this.validUntilNanos = sentAtNanos + this.leaseNanos;
		this.nextCallAtNanos = sentAtNanos;
	}

	/**
	 * Records that a call to obtain a lease had no valid response.
	 * @param nowNanos the time
	 */
	public void onLeaseNotObtained(long nowNanos) {
		this.candidateAtNanos = nowNanos + RETRY_NANOS + this.random.nextLong(RETRY_NANOS);
	}

	/**
	 * Records the result of writing the record.
	 * @param result the result
	 * @param nowNanos the time
	 */
	public void onRecordWritten(ConditionalWriteResult result, long nowNanos) {
		if (this.leaseId == 0) {
			// The store was restored meanwhile.
			return;
		}
		if (result instanceof ConditionalWriteResult.Applied applied) {
			lead(applied.version());
		}
		else if (result instanceof ConditionalWriteResult.Conflict conflict) {
			onConflict(conflict.current(), nowNanos);
		}
		else if (result instanceof ConditionalWriteResult.LeaseEnded) {
			this.leaseId = 0;
			this.candidateAtNanos = nowNanos + RETRY_NANOS;
		}
		else {
			this.nextCallAtNanos = nowNanos + RETRY_NANOS;
		}
	}

	// The own record is there if an earlier write was executed but not answered.
	private void onConflict(@Nullable StoreRecord current, long nowNanos) {
		if (current != null && this.isOwnRecord.test(current)) {
			lead(current.version());
			return;
		}
		if (current != null && current.version() > this.recordVersion) {
			this.record = current;
			this.recordVersion = current.version();
		}
		dropLease(nowNanos, RETRY_NANOS);
	}

	private void lead(long newToken) {
		this.token = newToken;
		this.recordVersion = Math.max(this.recordVersion, newToken);
		this.nextCallAtNanos = this.validUntilNanos - this.leaseNanos + this.leaseNanos / RENEWALS_PER_LEASE;
	}

	/**
	 * Records a renewal.
	 * @param sentAtNanos the time at which the call was sent
	 */
	public void onLeaseRenewed(long sentAtNanos) {
		if (this.leaseId != 0) {
			this.validUntilNanos = sentAtNanos + this.leaseNanos;
			this.nextCallAtNanos = sentAtNanos + this.leaseNanos / RENEWALS_PER_LEASE;
		}
	}

	/**
	 * Records that a renewal had no valid response. The lease may still exist, even after
	 * the time for which the leader may act.
	 * @param nowNanos the time
	 */
	public void onLeaseNotRenewed(long nowNanos) {
		this.nextCallAtNanos = nowNanos + RETRY_NANOS;
	}

	/**
	 * Records that the lease has ended.
	 * @param nowNanos the time
	 */
	public void onLeaseEnded(long nowNanos) {
		this.leaseId = 0;
		endLeadership(nowNanos);
	}

	/**
	 * Records that the end of an unused lease was attempted. If it failed, the lease ends
	 * by itself.
	 */
	public void onUnusedLeaseEnded() {
		this.unusedLeaseId = 0;
	}

	/**
	 * Records the current record, or a change of it, as the watch of the store reports
	 * it.
	 * @param newRecord the record, or {@code null} if there is none
	 * @param version the version of the change
	 * @param nowNanos the time
	 */
	public void onRecord(@Nullable StoreRecord newRecord, long version, long nowNanos) {
		if (isVoid(version) || (this.recordKnown && version < this.recordVersion)) {
			return;
		}
		boolean wasAbsent = this.recordKnown && this.record == null;
		this.recordKnown = true;
		this.record = newRecord;
		this.recordVersion = version;
		if (this.token != 0 && version > this.token) {
			dropLease(nowNanos, 0);
		}
		if (newRecord == null && !wasAbsent) {
			this.candidateAtNanos = Math.max(this.candidateAtNanos, nowNanos + candidateDelayNanos());
		}
	}

	// The response that tells of a restore may be that of a call that was sent before.
	private boolean isNoCandidateAt(long nanos) {
		return this.generation != 0 && nanos - this.noCandidateUntilNanos < 0;
	}

	private boolean isVoid(long version) {
		return StoreVersions.generation(version) < this.generation;
	}

	private long candidateDelayNanos() {
		return (this.standbyPosition >= 0) ? this.standbyPosition * STANDBY_DELAY_NANOS
				: OTHERS_DELAY_NANOS + this.random.nextLong(OTHERS_DELAY_NANOS);
	}

	/**
	 * Sets the position of this candidate among the standbys of the leader.
	 * @param position the position from 0, or a negative number for none
	 */
	public void setStandbyPosition(int position) {
		this.standbyPosition = position;
	}

	/**
	 * Gives up the leadership and the candidacy for good, because the daemon shuts down.
	 * @param nowNanos the time
	 */
	public void resign(long nowNanos) {
		this.resigned = true;
		dropLease(nowNanos, 0);
	}

	/**
	 * Gives up the leadership because its token was refused.
	 * @param refusedToken the token
	 * @param nowNanos the time
	 */
	public void onTokenRefused(long refusedToken, long nowNanos) {
		if (this.token == refusedToken && refusedToken != 0) {
			dropLease(nowNanos, 0);
		}
	}

	private void dropLease(long nowNanos, long delayNanos) {
		this.unusedLeaseId = this.leaseId;
		this.leaseId = 0;
		this.candidateAtNanos = Math.max(this.candidateAtNanos, nowNanos + delayNanos);
		endLeadership(nowNanos);
	}

	private void endLeadership(long nowNanos) {
		if (this.token != 0) {
			this.token = 0;
			this.candidateAtNanos = Math.max(this.candidateAtNanos, nowNanos + this.leaseNanos);
		}
	}

	/**
	 * Returns the token if the leadership certainly lasts until a time.
	 * @param untilNanos the time
	 * @return the token; empty if this candidate must not act
	 */
	public OptionalLong tokenUntil(long untilNanos) {
		return (this.token != 0 && untilNanos - this.validUntilNanos < 0) ? OptionalLong.of(this.token)
				: OptionalLong.empty();
	}

	/**
	 * Returns the token, whether or not this candidate may act now.
	 * @return the token, or zero if this candidate does not lead
	 */
	public long token() {
		return this.token;
	}

	/**
	 * Returns the lease of this candidate.
	 * @return the identifier, or zero for none
	 */
	public long leaseId() {
		return this.leaseId;
	}

	/**
	 * Returns the record of the leader that is known.
	 * @return the record, or {@code null} if there is none or it is not known
	 */
	@Nullable StoreRecord record() {
		return this.record;
	}

}
