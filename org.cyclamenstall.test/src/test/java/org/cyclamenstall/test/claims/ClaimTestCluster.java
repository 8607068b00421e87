package org.cyclamenstall.test.claims;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.cyclamenstall.claims.Claim;
import org.cyclamenstall.claims.ClaimDecision;
import org.cyclamenstall.claims.ClaimRequest;
import org.cyclamenstall.claims.ClaimantResponse;
import org.cyclamenstall.claims.StoredResponse;
import org.cyclamenstall.internal.claims.StoreClaimRegistry;
import org.cyclamenstall.junit.InMemoryConfigurationStore;
import org.cyclamenstall.junit.ManualClock;
import org.cyclamenstall.settings.ClaimSettings;
import org.cyclamenstall.settings.StoreSettings;

/**
 * Runs the claim registries of several hosts with one store, without threads or sockets,
 * and counts the executions of the request by the upstream.
 */
final class ClaimTestCluster {

	static final int MAXIMUM_AGE_MILLIS = 5_000;

	private static final StoreSettings STORE_SETTINGS = new StoreSettings(null, "127.0.0.1", 1, "test", null, null);

	private static final ClaimSettings CLAIM_SETTINGS = new ClaimSettings(MAXIMUM_AGE_MILLIS, null, 1_000);

	private final InMemoryConfigurationStore store = new InMemoryConfigurationStore();

	private final ManualClock clock = new ManualClock();

	private final Map<String, StoreClaimRegistry> registries = new TreeMap<>();

	private final Map<String, Long> incarnations = new TreeMap<>();

	private final List<String> executions = new ArrayList<>();

	private BooleanSupplier peersUnresponsive = () -> false;

	private int submissionCount;

	ClaimTestCluster(String... hosts) {
		for (String host : hosts) {
			restart(host);
		}
	}

	InMemoryConfigurationStore store() {
		return this.store;
	}

	ManualClock clock() {
		return this.clock;
	}

	List<String> executions() {
		return this.executions;
	}

	StoreClaimRegistry registry(String host) {
		return this.registries.get(host);
	}

	void setPeersUnresponsive(BooleanSupplier unresponsive) {
		this.peersUnresponsive = unresponsive;
	}

	void restart(String host) {
		long incarnation = this.incarnations.merge(host, 1L, Long::sum);
		this.registries.put(host, new StoreClaimRegistry(this.store, STORE_SETTINGS, CLAIM_SETTINGS,
				this::queryClaimant, host, incarnation, this.clock, this.clock, new PrometheusRegistry()));
	}

	ClaimDecision submit(String host) {
		return submit(host, "body");
	}

	ClaimDecision submit(String host, String bodyHash) {
		this.submissionCount++;
		return registry(host)
			.claim(new ClaimRequest("bakery", "bookings", "key-1", bodyHash, host + this.submissionCount));
	}

	ClaimDecision submitWithRequestId(String host, String requestId) {
		return registry(host).claim(new ClaimRequest("bakery", "bookings", "key-1", "body", requestId));
	}

	/**
	 * Simulates the execution of a claimed request: records it and completes the claim.
	 * @param claim the claim
	 * @return {@code false} if the claim does not permit sending
	 */
	boolean execute(Claim claim) {
		if (!claim.beginSending()) {
			return false;
		}
		this.executions.add("ran");
		claim.complete(response());
		return true;
	}

	static StoredResponse response() {
		return new StoredResponse(200, "text/plain", "booked".getBytes(StandardCharsets.UTF_8));
	}

	void settleAll() {
		this.registries.values().forEach(StoreClaimRegistry::settleAll);
	}

	void advanceBeyondMaximumAge() {
		this.clock.advance(Duration.ofMillis(MAXIMUM_AGE_MILLIS + 1));
	}

	private ClaimantResponse queryClaimant(String host, long incarnation, String attempt) {
		if (this.peersUnresponsive.getAsBoolean() || this.incarnations.get(host) != incarnation) {
			return ClaimantResponse.UNKNOWN;
		}
		return registry(host).statusOf(attempt);
	}

}
