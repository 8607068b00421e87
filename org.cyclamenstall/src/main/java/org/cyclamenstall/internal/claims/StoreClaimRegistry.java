package org.cyclamenstall.internal.claims;

import java.time.InstantSource;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.cyclamenstall.claims.ClaimDecision;
import org.cyclamenstall.claims.ClaimRegistry;
import org.cyclamenstall.claims.ClaimRequest;
import org.cyclamenstall.claims.ClaimantAnswer;
import org.cyclamenstall.claims.ClaimantQuery;
import org.cyclamenstall.claims.PeerClaimSource;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.settings.ClaimSettings;
import org.cyclamenstall.settings.StoreSettings;
import org.cyclamenstall.store.ConfigurationStore;

/**
 * Claims named requests by a record each in the platform's store. The record decides, not
 * a lease: a daemon that was paused cannot send what another one claimed. A claim whose
 * claimant ended between claim and sending stays unknown until its record is deleted.
 * Thread-safe.
 */
public final class StoreClaimRegistry implements ClaimRegistry, PeerClaimSource {

	private static final int REMEMBERED_CLAIMS = 100_000;

	private final ClaimKeys keys;

	private final ClaimStore store;

	private final ClaimTable table = new ClaimTable(REMEMBERED_CLAIMS);

	private final ClaimSettler settler;

	private final ClaimMetrics metrics;

	private final ClaimSettings settings;

	private final ClaimantQuery peers;

	private final String host;

	private final long incarnation;

	private final MonotonicClock clock;

	private final InstantSource wallClock;

	/**
	 * Creates a registry.
	 * @param store the store
	 * @param storeSettings the settings of the store, for the prefix of keys
	 * @param settings the bounds on claims
	 * @param peers asks the claimants of other hosts
	 * @param host the name of this host
	 * @param incarnation the incarnation of this daemon
	 * @param clock the monotonic clock
	 * @param wallClock the wall clock
	 * @param metrics the registry of metrics
	 */
	public StoreClaimRegistry(ConfigurationStore store, StoreSettings storeSettings, ClaimSettings settings,
			ClaimantQuery peers, String host, long incarnation, MonotonicClock clock, InstantSource wallClock,
			PrometheusRegistry metrics) {
		this.keys = new ClaimKeys(storeSettings.prefix());
		this.store = new ClaimStore(store);
		this.settings = settings;
		this.peers = peers;
		this.host = host;
		this.incarnation = incarnation;
		this.clock = clock;
		this.wallClock = wallClock;
		this.metrics = new ClaimMetrics(metrics, this.table::size);
		this.settler = new ClaimSettler(this.store, this.table, this.metrics, host, incarnation,
				settings.maximumAnswerBytes());
	}

	@Override
	public void start() {
		this.settler.start();
	}

	@Override
	public void close() {
		this.settler.close();
	}

	@Override
	public ClaimDecision claim(ClaimRequest request) {
		ClaimDecision decision = decide(request);
		this.metrics.decided(decision);
		return decision;
	}

	@Override
	public ClaimantAnswer statusOf(String attempt) {
		return this.table.statusOf(attempt);
	}

	/**
	 * Tries once to write the end of every ended claim to the store. Blocks on the store.
	 * @return the number of ended claims that are not written
	 */
	public int settleAll() {
		return this.settler.settleAll();
	}

	private ClaimDecision decide(ClaimRequest request) {
		ClaimAge age = new ClaimAge(this.clock, this.wallClock, this.settings.maximumAgeMillis());
		LocalClaim claim = new LocalClaim(request, this.keys.key(request), age, this.settler);
		try {
			LocalClaim earlier = this.table.enter(claim);
			if (earlier != null) {
				return AcquireClaimCommand.decideLocally(earlier, request.bodyHash());
			}
		}
		catch (ClaimTableFullException ex) {
			return AcquireClaimCommand.unavailable(ex);
		}
		return acquire(claim);
	}

	private ClaimDecision acquire(LocalClaim claim) {
		ClaimDecision decision = null;
		try {
			decision = new AcquireClaimCommand(this.store, this.table, this.peers, this.host, this.incarnation)
				.setClaim(claim)
				.call();
		}
		catch (RouterException ex) {
			decision = AcquireClaimCommand.unavailable(ex);
		}
		finally {
			if (decision instanceof ClaimDecision.Granted) {
				claim.grant();
			}
			else {
				claim.giveUpClaiming();
			}
		}
		return decision;
	}

}
