package org.cyclamenstall.internal.claims;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.apache.commons.codec.digest.MurmurHash3;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.kernel.Service;
import org.cyclamenstall.peers.Member;
import org.cyclamenstall.peers.MemberState;
import org.cyclamenstall.peers.Membership;
import org.cyclamenstall.settings.ClaimSettings;
import org.cyclamenstall.settings.StoreSettings;
import org.cyclamenstall.store.ConfigurationStore;
import org.cyclamenstall.store.StorePriority;
import org.cyclamenstall.store.StoreRecord;
import org.cyclamenstall.store.WriteResult;

/**
 * Deletes claim records that are older than the retention period. All daemons visit the
 * shards in the same order, one shard per second by the wall clock, and rendezvous
 * hashing selects the daemon that cleans the shard, so the whole deployment lists about
 * one shard per second regardless of its size. A record is deleted only at the version
 * that was read. A record without a final outcome is kept for at least a day, because its
 * claimant may be paused or waiting for an upstream. Thread-safe.
 */
public final class ClaimRetention implements Service {

	private static final Logger logger = LogManager.getLogger(ClaimRetention.class);

	private static final int MAXIMUM_DELETIONS_PER_SHARD = 50;

	private static final long SHARD_INTERVAL_MILLIS = 1_000;

	private static final long MINIMUM_OPEN_CLAIM_RETENTION_MILLIS = TimeUnit.DAYS.toMillis(1);

	private final ConfigurationStore store;

	private final ClaimKeys keys;

	private final long retentionMillis;

	private final Membership membership;

	private final InstantSource wallClock;

	private final Counter deletions;

	private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "claim-retention");
		thread.setDaemon(true);
		return thread;
	});

	/**
	 * Creates the service.
	 * @param store the store
	 * @param storeSettings the settings of the store, which contain the key prefix
	 * @param settings the settings of claims, which contain the retention period
	 * @param membership the daemons that share the work
	 * @param wallClock the wall clock
	 * @param metrics the metrics registry
	 */
	public ClaimRetention(ConfigurationStore store, StoreSettings storeSettings, ClaimSettings settings,
			Membership membership, InstantSource wallClock, PrometheusRegistry metrics) {
		this.store = store;
		this.keys = new ClaimKeys(storeSettings.prefix());
		this.retentionMillis = TimeUnit.SECONDS.toMillis(settings.retentionSeconds());
		this.membership = membership;
		this.wallClock = wallClock;
		this.deletions = Counter.builder()
			.name("cyclamenstall_claim_deletions_total")
			.help("Claim records deleted after the retention period")
			.register(metrics);
	}

	@Override
	public void start() {
		this.scheduler.scheduleWithFixedDelay(this::cleanCurrentShard, SHARD_INTERVAL_MILLIS, SHARD_INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	@Override
	public void close() {
		this.scheduler.shutdownNow();
	}

	/**
	 * Deletes expired records of one shard, up to a maximum number per call. Blocks on
	 * the store.
	 * @param shard the number of the shard
	 * @return the number of deleted records
	 */
	public int cleanShard(int shard) {
		int deleted = 0;
		for (StoreRecord record : this.store.list(this.keys.shardPrefix(shard), StorePriority.BACKGROUND).records()) {
			if (deleted < MAXIMUM_DELETIONS_PER_SHARD && isExpired(record) && delete(record) == WriteResult.APPLIED) {
				deleted++;
			}
		}
		this.deletions.inc(deleted);
		return deleted;
	}

	/**
	 * Returns the shard to be cleaned at the current time.
	 * @return the number of the shard
	 */
	public int currentShard() {
		return (int) Math.floorMod(this.wallClock.millis() / SHARD_INTERVAL_MILLIS, (long) ClaimKeys.SHARDS);
	}

	/**
	 * Returns whether this daemon cleans a shard.
	 * @param shard the number of the shard
	 * @return {@code true} if this daemon is selected among the live daemons
	 */
	public boolean isOwner(int shard) {
		String self = this.membership.self().host();
		List<Member> members = this.membership.members();
		return members.stream()
			.filter((member) -> member.state() == MemberState.ALIVE || member.host().equals(self))
			.map(Member::host)
			.max(Comparator.comparingLong((host) -> weight(shard, host)))
			.filter(self::equals)
			.isPresent();
	}

	private void cleanCurrentShard() {
		try {
			int shard = currentShard();
			if (isOwner(shard)) {
				cleanShard(shard);
			}
		}
		catch (RouterException ex) {
			logger.debug("Skipped the deletion of expired claims: {}", ex.getMessage());
		}
		catch (RuntimeException ex) {
			logger.error("Unexpected failure in the deletion of expired claims", ex);
		}
	}

	private boolean isExpired(StoreRecord record) {
		try {
			ClaimRecord claim = ClaimRecord.parse(record.value());
			boolean open = claim.outcome() == ClaimOutcome.CLAIMED;
			long recordRetentionMillis = open ? Math.max(MINIMUM_OPEN_CLAIM_RETENTION_MILLIS, this.retentionMillis)
					: this.retentionMillis;
			return this.wallClock.millis() - claim.claimedAtMillis() > recordRetentionMillis;
		}
		catch (IOException ex) {
			logger.error("Claim record {} is malformed and is not deleted", record.key());
			return false;
		}
	}

	private WriteResult delete(StoreRecord record) {
		return this.store.compareAndDelete(record.key(), record.version(), StorePriority.BACKGROUND);
	}

	private static long weight(int shard, String host) {
		return MurmurHash3.hash128x64((shard + "/" + host).getBytes(StandardCharsets.UTF_8))[0];
	}

}
