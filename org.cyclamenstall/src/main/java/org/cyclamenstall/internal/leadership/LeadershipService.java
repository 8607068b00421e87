package org.cyclamenstall.internal.leadership;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.events.Event;
import org.cyclamenstall.events.EventLog;
import org.cyclamenstall.internal.kernel.EssentialThread;
import org.cyclamenstall.internal.watch.StoreListener;
import org.cyclamenstall.kernel.Service;
import org.cyclamenstall.kernel.SuspendAwareClock;
import org.cyclamenstall.leadership.Leader;
import org.cyclamenstall.leadership.Leadership;
import org.cyclamenstall.store.ConditionalWrite;
import org.cyclamenstall.store.ConditionalWriteResult;
import org.cyclamenstall.store.LeasedStore;
import org.cyclamenstall.store.StoreChange;
import org.cyclamenstall.store.StoreLease;
import org.cyclamenstall.store.StoreListing;
import org.cyclamenstall.store.StoreRecord;
import org.jspecify.annotations.Nullable;

/**
 * Carries out the actions of the {@link LeaderElection} of this daemon on one thread, and
 * learns of other leaders from the watch of the store. Thread-safe: the election is
 * guarded by the monitor of this object, which is not held during calls to the store.
 */
public final class LeadershipService implements Service, Leadership, StoreListener {

	/** Key of the record of the leader. */
	static final String LEADER_KEY = "cyclamenstall/leader";

	/**
	 * Timeout of a call to the store, as a fraction of the lease, so that two renewals
	 * can fail before the lease ends.
	 */
	private static final int CALLS_PER_LEASE = 4;

	/** Maximum time in which the lease is given up at a shutdown. */
	private static final long RESIGN_MILLIS = 500;

	private final LeaderRecordCodec codec = new LeaderRecordCodec();

	private final LeadershipSettings settings;

	private final String host;

	private final long incarnation;

	private final LeasedStore store;

	private final SuspendAwareClock clock;

	private final EventLog events;

	private final LeaderElection election;

	private final Duration callTimeout;

	private @Nullable Leader knownLeader;

	private long reportedToken;

	private boolean resigned;

	private volatile boolean closed;

	private @Nullable Thread thread;

	/**
	 * Creates a service.
	 * @param settings the settings
	 * @param host the name of this host
	 * @param incarnation the start time of this daemon, in milliseconds since the epoch
	 * @param store the store
	 * @param clock the clock, which must include suspension
	 * @param random spreads the candidates
	 * @param events the event log
	 */
	public LeadershipService(LeadershipSettings settings, String host, long incarnation, LeasedStore store,
			SuspendAwareClock clock, UniformRandomProvider random, EventLog events) {
		this.settings = settings;
		this.host = host;
		this.incarnation = incarnation;
		this.store = store;
		this.clock = clock;
		this.events = events;
		this.callTimeout = settings.leaseDuration().dividedBy(CALLS_PER_LEASE);
		this.election = new LeaderElection(this::isOwnRecord, settings.leaseDuration(), random, clock.nanoTime());
	}

	@Override
	public void start() {
		this.thread = EssentialThread.start("leadership", this::run, () -> this.closed);
	}

	/**
	 * Gives up the leadership, so that another daemon takes over at once, and waits a
	 * short time until the store knows. Has no effect the second time.
	 */
	public void resign() {
		synchronized (this) {
			if (this.resigned) {
				return;
			}
			this.resigned = true;
			this.election.resign(this.clock.nanoTime());
			reportChange();
			notifyAll();
		}
		awaitEndOfLease();
	}

	private synchronized void awaitEndOfLease() {
		long deadlineNanos = this.clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RESIGN_MILLIS);
		try {
			while (this.thread != null && this.election.next(this.clock.nanoTime()) instanceof ElectionAction.EndLease
					&& this.clock.nanoTime() - deadlineNanos < 0) {
				TimeUnit.NANOSECONDS.timedWait(this, Math.max(1, deadlineNanos - this.clock.nanoTime()));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Override
	public void close() {
		resign();
		this.closed = true;
		if (this.thread != null) {
			this.thread.interrupt();
		}
	}

	private void run() {
		while (!this.closed) {
			ElectionAction action = nextAction();
			if (action != null) {
				carryOut(action);
			}
		}
	}

	// Waits if there is nothing to do.
	private synchronized @Nullable ElectionAction nextAction() {
		ElectionAction action = this.election.next(this.clock.nanoTime());
		if (!(action instanceof ElectionAction.Await await)) {
			return action;
		}
		try {
			TimeUnit.NANOSECONDS.timedWait(this, Math.max(TimeUnit.MILLISECONDS.toNanos(1), await.nanos()));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			this.closed = true;
		}
		return null;
	}

	private void carryOut(ElectionAction action) {
		if (action instanceof ElectionAction.ObtainLease) {
			obtainLease();
		}
		else if (action instanceof ElectionAction.WriteRecord write) {
			writeRecord(write.leaseId());
		}
		else if (action instanceof ElectionAction.RenewLease renewal) {
			renewLease(renewal.leaseId());
		}
		else if (action instanceof ElectionAction.EndLease end) {
			endLease(end.leaseId());
		}
	}

	/**
	 * Gives up the leadership because the store was restored from an older copy.
	 * @param generation the generation of the store
	 */
	public void onStoreRestored(long generation) {
		update(() -> {
			this.election.onStoreRestored(generation, this.clock.nanoTime());
			this.knownLeader = null;
		});
	}

	private void obtainLease() {
		long sentAtNanos = this.clock.nanoTime();
		try {
			StoreLease lease = this.store.obtainLease(this.settings.leaseDuration(), this.callTimeout);
			update(() -> this.election.onLeaseObtained(lease, sentAtNanos));
		}
		catch (RouterException ex) {
			update(() -> this.election.onLeaseNotObtained(this.clock.nanoTime()));
		}
	}

	private void writeRecord(long leaseId) {
		byte[] value = this.codec
			.encode(new Leader(this.host, this.incarnation, this.settings.collectorAddress(), leaseId));
		ConditionalWriteResult result = this.store
			.write(new ConditionalWrite(LEADER_KEY, value, ConditionalWrite.ABSENT, leaseId), this.callTimeout);
		update(() -> this.election.onRecordWritten(result, this.clock.nanoTime()));
	}

	private void renewLease(long leaseId) {
		long sentAtNanos = this.clock.nanoTime();
		try {
			boolean renewed = this.store.renewLease(leaseId, this.callTimeout);
			update(() -> {
				if (renewed) {
					this.election.onLeaseRenewed(sentAtNanos);
				}
				else {
					this.election.onLeaseEnded(this.clock.nanoTime());
				}
			});
		}
		catch (RouterException ex) {
			update(() -> this.election.onLeaseNotRenewed(this.clock.nanoTime()));
		}
	}

	private void endLease(long leaseId) {
		try {
			this.store.endLease(leaseId, this.callTimeout);
		}
		catch (RouterException ex) {
			this.events.record(new Event.LeaseNotEnded(leaseId, String.valueOf(ex.getMessage())));
		}
		update(this.election::onUnusedLeaseEnded);
	}

	private synchronized void update(Runnable change) {
		change.run();
		reportChange();
		notifyAll();
	}

	private void reportChange() {
		long token = this.election.token();
		if (token != this.reportedToken) {
			this.events.record((token != 0) ? new Event.LeadershipTaken(token)
					: new Event.LeadershipEnded(this.reportedToken, this.resigned ? "resigned" : "lost"));
			this.reportedToken = token;
		}
	}

	private boolean isOwnRecord(StoreRecord record) {
		Leader leader = this.codec.decode(record);
		return leader != null && leader.host().equals(this.host) && leader.incarnation() == this.incarnation
				&& leader.address().equals(this.settings.collectorAddress()) && isCurrentLease(leader.leaseId());
	}

	private synchronized boolean isCurrentLease(long leaseId) {
		return this.election.leaseId() == leaseId;
	}

	@Override
	public synchronized OptionalLong tokenFor(Duration callTime) {
		return this.election.tokenUntil(this.clock.nanoTime() + callTime.toNanos());
	}

	@Override
	public synchronized Optional<Leader> leader() {
		return Optional.ofNullable(this.knownLeader);
	}

	@Override
	public void recordRefusedToken(long token) {
		update(() -> this.election.onTokenRefused(token, this.clock.nanoTime()));
	}

	/**
	 * Sets the position of this daemon among the standbys of the leader.
	 * @param position the position from 0, or a negative number for none
	 */
	public synchronized void setStandbyPosition(int position) {
		this.election.setStandbyPosition(position);
	}

	/**
	 * Returns the token of this daemon, whether or not it may act now.
	 * @return the token, or zero if this daemon does not lead
	 */
	public synchronized long token() {
		return this.election.token();
	}

	@Override
	public void onListing(StoreListing listing) {
		StoreRecord listed = listing.records()
			.stream()
			.filter((record) -> record.key().equals(LEADER_KEY))
			.findFirst()
			.orElse(null);
		onRecord(listed, (listed != null) ? listed.version() : listing.index());
	}

	@Override
	public void onChange(StoreChange change) {
		if (change.key().equals(LEADER_KEY)) {
			onRecord(change.record(), change.version());
		}
	}

	private void onRecord(@Nullable StoreRecord record, long version) {
		update(() -> {
			this.election.onRecord(record, version, this.clock.nanoTime());
			this.knownLeader = this.codec.decode(this.election.record());
		});
	}

}
