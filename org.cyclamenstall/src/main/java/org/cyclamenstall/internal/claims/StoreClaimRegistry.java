package org.cyclamenstall.internal.claims;

import java.time.InstantSource;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.cyclamenstall.claims.ClaimDecision;
import org.cyclamenstall.claims.ClaimRegistry;
import org.cyclamenstall.claims.ClaimRequest;
import org.cyclamenstall.claims.ClaimStatusSource;
import org.cyclamenstall.claims.ClaimantClient;
import org.cyclamenstall.claims.ClaimantResponse;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.settings.ClaimSettings;
import org.cyclamenstall.settings.StoreSettings;
import org.cyclamenstall.store.ConfigurationStore;

/**
 * Claims requests by writing a record for each to the configuration store. Ownership
 * depends on the record and not on a lease, so that a daemon that was paused cannot send
 * a request claimed by another. If a claimant terminates between claiming and sending,
 * the outcome remains unknown until the record is deleted. Thread-safe.
 */
public final class StoreClaimRegistry implements ClaimRegistry, ClaimStatusSource {

	private static final int MAXIMUM_TRACKED_CLAIMS = 100_000;

	private final ClaimKeys keys;

	private final ClaimStore store;

	private final ClaimTable table = new ClaimTable(MAXIMUM_TRACKED_CLAIMS);

	private final ClaimSettler settler;

	private final ClaimMetrics metrics;

	private final ClaimSettings settings;

	private final ClaimantClient claimantClient;

	private final String host;

	private final long incarnation;

	private final MonotonicClock clock;

	private final InstantSource wallClock;

	/**
	 * Creates a registry.
	 * @param store the store
	 * @param storeSettings the settings of the store, which contain the key prefix
	 * @param settings the limits on claims
	 * @param claimantClient the client for queries to claimants on other hosts
	 * @param host the name of this host
	 * @param incarnation the incarnation of this daemon
	 * @param clock the monotonic clock
	 * @param wallClock the wall clock
	 * @param metrics the metrics registry
	 */
	public StoreClaimRegistry(ConfigurationStore store, StoreSettings storeSettings, ClaimSettings settings,
			ClaimantClient claimantClient, String host, long incarnation, MonotonicClock clock, InstantSource wallClock,
			PrometheusRegistry metrics) {
		this.keys = new ClaimKeys(storeSettings.prefix());
		this.store = new ClaimStore(store);
		this.settings = settings;
		this.claimantClient = claimantClient;
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
		this.metrics.recordDecision(decision);
		return decision;
	}

	@Override
	public ClaimantResponse statusOf(String attempt) {
		return this.table.statusOf(attempt);
	}

	/**
	 * Tries once to write the outcome of every ended claim to the store. Blocks on the
	 * store.
	 * @return the number of ended claims whose outcome is not stored yet
	 */
	public int settleAll() {
		return this.settler.settleAll();
	}

	private ClaimDecision decide(ClaimRequest request) {
		ClaimAge age = new ClaimAge(this.clock, this.wallClock, this.settings.maximumAgeMillis());
		LocalClaim claim = new LocalClaim(request, this.keys.key(request), age, this.settler);
		try {
			LocalClaim existing = this.table.add(claim);
			if (existing != null) {
				return AcquireClaimCommand.decideLocally(existing, request.bodyHash());
			}
		}
		catch (ClaimTableFullException ex) {
			return AcquireClaimCommand.storeUnavailable(ex);
		}
		return acquire(claim);
	}

	private ClaimDecision acquire(LocalClaim claim) {
		ClaimDecision decision = null;
		try {
			decision = new AcquireClaimCommand(this.store, this.table, this.claimantClient, this.host, this.incarnation)
				.setClaim(claim)
				.call();
		}
		catch (RouterException ex) {
			decision = AcquireClaimCommand.storeUnavailable(ex);
		}
		finally {
			if (decision instanceof ClaimDecision.Granted) {
				claim.grant();
			}
			else {
				claim.abandonAcquisition();
			}
		}
		return decision;
	}

}
