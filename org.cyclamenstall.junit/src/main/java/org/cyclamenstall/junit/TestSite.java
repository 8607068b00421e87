package org.cyclamenstall.junit;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import org.apache.commons.codec.digest.DigestUtils;
import org.cyclamenstall.settings.ClaimSettings;
import org.cyclamenstall.settings.PolicySettings;
import org.cyclamenstall.standin.Standin;
import org.cyclamenstall.standin.caller.CallerClient;
import org.cyclamenstall.standin.caller.ChatResponseForm;
import org.cyclamenstall.standin.platform.ListedService;
import org.cyclamenstall.standin.site.ConditionWaiter;
import org.cyclamenstall.standin.site.DaemonInstance;
import org.cyclamenstall.standin.site.Site;
import org.cyclamenstall.standin.site.SiteLauncher;
import org.cyclamenstall.standin.site.SiteSettings;
import org.cyclamenstall.standin.site.UpstreamInstance;

/**
 * Runs a site of daemons and stand-ins with the catalogue used by the integration tests.
 * Thread-safe.
 */
public final class TestSite implements AutoCloseable {

	/** The model entry of the highest tier, with resumable streams. */
	public static final String CHAT = "driver-chat";

	/** The model entry of the highest tier, without resumable streams. */
	public static final String NON_RESUMABLE_CHAT = "fixed-chat";

	/** The model entry of the middle tier, with resumable streams. */
	public static final String SUMMARY = "order-summary";

	/** The model entry of the lowest tier, with resumable streams. */
	public static final String DIGEST = "survey-digest";

	/** The path prefix of the plain service that requires an idempotency key. */
	public static final String BOOKINGS = "/bookings";

	/**
	 * The path prefix of the plain service that accepts requests with or without an
	 * idempotency key and declares that status 503 means not executed.
	 */
	public static final String CHARGES = "/charges";

	/**
	 * The maximum age of a claim at which its request may still be sent, in milliseconds.
	 */
	public static final int MAXIMUM_CLAIM_AGE_MILLIS = 1_500;

	private static final int STATUS_OK = 200;

	private static final Duration RESPONSE_HEADER_TIMEOUT = Duration.ofSeconds(20);

	private static final int REQUESTS_TO_FILL_RETRY_BUDGET = 30;

	private static final String API_KEY = "test-key";

	private static final ClaimSettings CLAIMS = new ClaimSettings(MAXIMUM_CLAIM_AGE_MILLIS, 3_600, null);

	private static final PolicySettings POLICY = new PolicySettings(null, null, null, null, null, null, null, null,
			null, null, 1_000, 3_000, 3_000);

	private static final List<String> MODELS = List.of(CHAT, NON_RESUMABLE_CHAT, SUMMARY, DIGEST);

	private final AtomicLong keyCounter = new AtomicLong();

	private final Site site;

	private TestSite(Site site) {
		this.site = site;
	}

	/**
	 * Returns the settings of a small site with short timeouts, for tests that wait for
	 * timeouts to expire.
	 * @param daemons the number of daemons
	 * @return the settings
	 */
	public static SiteSettings settings(int daemons) {
		return SiteSettings.SMALL.withDaemons(daemons).withClaims(CLAIMS).withPolicy(POLICY);
	}

	/**
	 * Starts a site and writes the catalogue entries of the tests.
	 * @param settings the settings
	 * @return the running site, which must be closed
	 */
	public static TestSite launch(SiteSettings settings) {
		Site site = new SiteLauncher(settings).start();
		try {
			site.putEntry(CHAT, modelEntry(CHAT, "interactive", true));
			site.putEntry(NON_RESUMABLE_CHAT, modelEntry(NON_RESUMABLE_CHAT, "interactive", false));
			site.putEntry(SUMMARY, modelEntry(SUMMARY, "standard", true));
			site.putEntry(DIGEST, modelEntry(DIGEST, "bulk", true));
			site.putEntry("bookings", serviceEntry("bookings", BOOKINGS, "idempotencyKey: required"));
			site.putEntry("charges", serviceEntry("charges", CHARGES, "notExecutedStatuses: [503]"));
			site.putEntry("tester", accountEntry());
		}
		catch (RuntimeException ex) {
			site.close();
			throw ex;
		}
		return new TestSite(site);
	}

	/**
	 * Returns a model entry in YAML.
	 * @param name the name of the entry and of the model
	 * @param tier the label of the tier, such as {@code bulk}
	 * @param resumable whether its streams can be resumed
	 * @return the YAML text
	 */
	public static String modelEntry(String name, String tier, boolean resumable) {
		return """
				name: %s
				kind: model
				owner: tests
				class: %s
				upstreams: cuptor
				model: %s
				resumable: %s
				""".formatted(name, tier, name, resumable);
	}

	/**
	 * Returns the underlying site.
	 * @return the site
	 */
	public Site site() {
		return this.site;
	}

	/**
	 * Returns a daemon of the site.
	 * @param index the index of the daemon, starting at 0
	 * @return the daemon
	 */
	public DaemonInstance daemon(int index) {
		return this.site.daemon(index);
	}

	/**
	 * Returns a client connected directly to a daemon.
	 * @param index the index of the daemon
	 * @return the client
	 */
	public CallerClient caller(int index) {
		return new CallerClient(this.site.daemon(index).callerAddress(), API_KEY);
	}

	/**
	 * Returns a client connected to a daemon through the fault proxy of its caller port.
	 * It fails if the response headers do not arrive within 20 s.
	 * @param index the index of the daemon
	 * @return the client
	 */
	public CallerClient callerThroughProxy(int index) {
		return new CallerClient(this.site.daemon(index).callerProxy().address(), API_KEY, RESPONSE_HEADER_TIMEOUT);
	}

	/**
	 * Returns a client connected directly to an engine, to obtain the response that a
	 * daemon is expected to relay.
	 * @return the client
	 */
	public CallerClient engineCaller() {
		Standin engine = this.site.engines().get(0).standin();
		return new CallerClient(new InetSocketAddress(engine.address(), engine.port()), API_KEY);
	}

	/**
	 * Returns a new idempotency key, unique within this site.
	 * @return the key
	 */
	public String newIdempotencyKey() {
		return "key-" + this.keyCounter.incrementAndGet() + "-end";
	}

	/**
	 * Clears all faults, lists all upstreams as live, restarts daemons that have exited
	 * and waits until every daemon is ready, reports all hosts as alive and serves
	 * bookings and chats.
	 */
	public void restore() {
		this.site.clearFaults();
		this.site.engines().forEach((upstream) -> this.site.setUpstreamState(upstream, ListedService.LIVE));
		this.site.services().forEach((upstream) -> this.site.setUpstreamState(upstream, ListedService.LIVE));
		for (DaemonInstance daemon : this.site.daemons()) {
			if (!daemon.process().isAlive()) {
				daemon.start();
			}
		}
		this.site.daemons().forEach(DaemonInstance::awaitReady);
		this.site.daemons().forEach(this::awaitAllHostsAlive);
		for (int index = 0; index < this.site.daemons().size(); index++) {
			awaitServing(index);
		}
	}

	private void awaitAllHostsAlive(DaemonInstance daemon) {
		ConditionWaiter.await(() -> liveHosts(daemon) == this.site.daemons().size(),
				() -> daemon.host() + " reports the hosts " + daemon.operatorClient().get("/v1/hosts"));
	}

	private static int liveHosts(DaemonInstance daemon) {
		return daemon.operatorClient().get("/v1/status").json().path("liveHosts").asInt();
	}

	private void awaitServing(int index) {
		ConditionWaiter.await(
				() -> caller(index).postWithKey(BOOKINGS, newIdempotencyKey(), "{}").status() == STATUS_OK,
				() -> "bookings fail at daemon " + index + ": "
						+ caller(index).postWithKey(BOOKINGS, newIdempotencyKey(), "{}"));
		ConditionWaiter.await(
				() -> caller(index).chat(NON_RESUMABLE_CHAT, "probe", 1, ChatResponseForm.NON_STREAMED)
					.status() == STATUS_OK,
				() -> "chats fail at daemon " + index + ": "
						+ caller(index).chat(NON_RESUMABLE_CHAT, "probe", 1, ChatResponseForm.NON_STREAMED));
	}

	/**
	 * Sends chat requests to a daemon so that its retry budget permits some retries.
	 * @param index the index of the daemon
	 */
	public void fillRetryBudget(int index) {
		for (int request = 0; request < REQUESTS_TO_FILL_RETRY_BUDGET; request++) {
			caller(index).chat(NON_RESUMABLE_CHAT, "budget", 1, ChatResponseForm.NON_STREAMED);
		}
	}

	/**
	 * Returns how often the plain services executed a POST request.
	 * @param path the path of the request
	 * @param body the body of the request
	 * @return the number of executions, summed over all plain services
	 */
	public long executionsOf(String path, String body) {
		return this.site.services()
			.stream()
			.map(UpstreamInstance::standin)
			.mapToLong((service) -> service.executionsOf("POST", path,
					body.getBytes(java.nio.charset.StandardCharsets.UTF_8)))
			.sum();
	}

	/**
	 * Waits until every daemon reports the given state for all upstreams of a service.
	 * @param service the name of the service
	 * @param state the expected state
	 */
	public void awaitUpstreamStates(String service, String state) {
		this.site.daemons()
			.forEach((daemon) -> ConditionWaiter.await(
					() -> upstreamStates(daemon, service).stream().allMatch(state::equals),
					() -> daemon.host() + " reports " + upstreamStates(daemon, service)));
	}

	/**
	 * Waits until every daemon reports the given state for one upstream.
	 * @param service the name of the service
	 * @param host the host name of the upstream
	 * @param state the expected state
	 */
	public void awaitUpstreamState(String service, String host, String state) {
		String row = service + " " + host + " " + state;
		this.site.daemons()
			.forEach((daemon) -> ConditionWaiter.await(() -> upstreamRows(daemon).contains(row),
					() -> daemon.host() + " reports " + upstreamRows(daemon) + " instead of " + row));
	}

	private static List<String> upstreamRows(DaemonInstance daemon) {
		List<String> rows = new ArrayList<>();
		daemon.operatorClient()
			.get("/v1/upstreams")
			.json()
			.path("upstreams")
			.forEach((row) -> rows.add(
					row.path("service").asText() + " " + row.path("host").asText() + " " + row.path("state").asText()));
		return rows;
	}

	private static List<String> upstreamStates(DaemonInstance daemon, String service) {
		List<String> states = new ArrayList<>();
		daemon.operatorClient().get("/v1/upstreams").json().path("upstreams").forEach((row) -> {
			if (row.path("service").asText().equals(service)) {
				states.add(row.path("state").asText());
			}
		});
		return states;
	}

	@Override
	public void close() {
		this.site.close();
	}

	private static String serviceEntry(String name, String pathPrefix, String additionalFields) {
		return """
				name: %s
				kind: service
				owner: tests
				class: standard
				upstreams: ghiseu
				pathPrefix: %s
				idempotentMethods: [GET, HEAD]
				%s
				""".formatted(name, pathPrefix, additionalFields);
	}

	private static String accountEntry() {
		return """
				name: tester
				kind: account
				owner: tests
				class: interactive
				keyHashes: [%s]
				entries: [%s, bookings, charges]
				""".formatted(DigestUtils.sha256Hex(API_KEY), String.join(", ", MODELS));
	}

}
