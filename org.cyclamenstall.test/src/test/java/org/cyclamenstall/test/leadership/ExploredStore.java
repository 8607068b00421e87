package org.cyclamenstall.test.leadership;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.cyclamenstall.store.ConditionalWriteResult;
import org.cyclamenstall.store.StoreRecord;
import org.cyclamenstall.store.StoreVersions;
import org.jspecify.annotations.Nullable;

/**
 * Store with one record and leases, on simulated time, that can be restored from a copy.
 * Not thread-safe.
 */
final class ExploredStore {

	static final String KEY = "leader";

	private final Map<Long, Long> leaseEnds = new HashMap<>();

	/** Time by which each lease ends too early: a planted fault. */
	private final long earlyEndNanos;

	private final long leaseNanos;

	private long lastLease;

	private long revision = 1;

	private @Nullable StoreRecord record;

	private long recordLease;

	private long pausedSinceNanos = -1;

	private long generation;

	/** Whether versions do not contain the generation: a planted fault. */
	private final boolean versionsWithoutGeneration;

	ExploredStore(Duration lease, Duration earlyEnd, boolean versionsWithoutGeneration) {
		this.versionsWithoutGeneration = versionsWithoutGeneration;
		this.leaseNanos = lease.toNanos();
		this.earlyEndNanos = earlyEnd.toNanos();
	}

	long generation() {
		return this.generation;
	}

	long version() {
		return version(this.revision);
	}

	private long version(long number) {
		return StoreVersions.of(this.versionsWithoutGeneration ? 0 : this.generation, number);
	}

	Copy copy() {
		return new Copy(Map.copyOf(this.leaseEnds), this.lastLease, this.revision, this.record, this.recordLease);
	}

	void restore(Copy copy) {
		this.generation++;
		this.leaseEnds.clear();
		this.leaseEnds.putAll(copy.leaseEnds());
		this.lastLease = copy.lastLease();
		this.revision = copy.revision();
		this.recordLease = copy.recordLease();
		StoreRecord copied = copy.record();
		this.record = (copied != null)
				? new StoreRecord(KEY, copied.value(), version(StoreVersions.revision(copied.version()))) : null;
	}

	@Nullable StoreRecord record() {
		return this.record;
	}

	/**
	 * Ends the leases whose time has passed, unless an outage pauses them.
	 * @param nowNanos the time
	 * @return whether the record was removed
	 */
	boolean expire(long nowNanos) {
		if (this.pausedSinceNanos >= 0) {
			return false;
		}
		this.leaseEnds.values().removeIf((end) -> end - nowNanos <= 0);
		return removeUnboundRecord();
	}

	private boolean removeUnboundRecord() {
		if (this.record == null || this.leaseEnds.containsKey(this.recordLease)) {
			return false;
		}
		this.record = null;
		this.revision++;
		return true;
	}

	void pauseLeases(long nowNanos) {
		this.pausedSinceNanos = nowNanos;
	}

	void resumeLeases(long nowNanos) {
		long pausedNanos = nowNanos - this.pausedSinceNanos;
		this.leaseEnds.replaceAll((lease, end) -> end + pausedNanos);
		this.pausedSinceNanos = -1;
	}

	long obtainLease(long nowNanos) {
		this.lastLease++;
		this.leaseEnds.put(this.lastLease, nowNanos + this.leaseNanos - this.earlyEndNanos);
		return version(this.lastLease);
	}

	boolean renewLease(long lease, long nowNanos) {
		return this.leaseEnds.replace(StoreVersions.revision(lease),
				nowNanos + this.leaseNanos - this.earlyEndNanos) != null;
	}

	boolean endLease(long lease) {
		this.leaseEnds.remove(StoreVersions.revision(lease));
		return removeUnboundRecord();
	}

	ConditionalWriteResult write(byte[] value, long lease) {
		if (this.record != null) {
			return new ConditionalWriteResult.Conflict(this.record);
		}
		if (!this.leaseEnds.containsKey(StoreVersions.revision(lease))) {
			return new ConditionalWriteResult.LeaseEnded();
		}
		this.revision++;
		this.record = new StoreRecord(KEY, value, version());
		this.recordLease = StoreVersions.revision(lease);
		return new ConditionalWriteResult.Applied(version());
	}

	/**
	 * Copy of the store. Immutable.
	 */
	record Copy(Map<Long, Long> leaseEnds, long lastLease, long revision, @Nullable StoreRecord record,
			long recordLease) {

	}

}
