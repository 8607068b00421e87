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
import org.cyclamenstall.standin.caller.ChatForm;
import org.cyclamenstall.standin.platform.ListedService;
import org.cyclamenstall.standin.site.ConditionWaiter;
import org.cyclamenstall.standin.site.DaemonInstance;
import org.cyclamenstall.standin.site.Site;
import org.cyclamenstall.standin.site.SiteLauncher;
import org.cyclamenstall.standin.site.SiteSettings;
import org.cyclamenstall.standin.site.Upstream;

/**
 * Holds a site with the catalogue that the integration tests use. Thread-safe.
 */
public final class TestSite implements AutoCloseable {

	/** The model of the highest class; its streams can be resumed. */
	public static final String CHAT = "driver-chat";

	/** The model of the highest class whose streams cannot be resumed. */
	public static final String FIXED_CHAT = "fixed-chat";

	/** The model of the middle class. */
	public static final String SUMMARY = "order-summary";

	/** The model of the lowest class. */
	public static final String DIGEST = "survey-digest";

	/** The path prefix of the plain service whose bookings must be named. */
	public static final String BOOKINGS = "/bookings";

	/**
	 * The path prefix of the plain service that declares status 503 as not executed and
	 * whose bookings may be named.
	 */
	public static final String CHARGES = "/charges";

	/** The longest time between a claim and its sending, in milliseconds. */
	public static final int CLAIM_AGE_MILLIS = 1_500;

	private static final int STATUS_OK = 200;

	private static final Duration CALLER_PATIENCE = Duration.ofSeconds(20);

	private static final int REQUESTS_FOR_BUDGET = 30;

	private static final String API_KEY = "test-key";

	private static final ClaimSettings CLAIMS = new ClaimSettings(CLAIM_AGE_MILLIS, 3_600, null);

	private static final PolicySettings POLICY = new PolicySettings(null, null, null, null, null, null, null, null,
			null, null, 1_000, 3_000, 3_000);

	private static final List<String> MODELS = List.of(CHAT, FIXED_CHAT, SUMMARY, DIGEST);

	private final AtomicLong keys = new AtomicLong();

	private final Site site;

	private TestSite(Site site) {
		this.site = site;
	}

	/**
	 * Returns settings of a small site with time-outs short enough for tests that wait
	 * for them.
	 * @param daemons the number of daemons
	 * @return the settings
	 */
	public static SiteSettings settings(int daemons) {
		return SiteSettings.SMALL.withDaemons(daemons).withClaims(CLAIMS).withPolicy(POLICY);
	}

	/**
	 * Starts a site and writes its catalogue.
	 * @param settings the settings
	 * @return the site
	 */
	public static TestSite launch(SiteSettings settings) {
		Site site = new SiteLauncher(settings).call();
		try {
			site.putEntry(CHAT, modelEntry(CHAT, "interactive", true));
			site.putEntry(FIXED_CHAT, modelEntry(FIXED_CHAT, "interactive", false));
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
	 * Returns the text of a model entry.
	 * @param name the name of entry and model
	 * @param tier the class
	 * @param resumable whether its streams can be resumed
	 * @return the entry in YAML
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
	 * Returns the site.
	 * @return the site
	 */
	public Site site() {
		return this.site;
	}

	/**
	 * Returns a daemon.
	 * @param index its index
	 * @return the daemon
	 */
	public DaemonInstance daemon(int index) {
		return this.site.daemon(index);
	}

	/**
	 * Returns a caller of a daemon.
	 * @param index the index of the daemon
	 * @return the caller
	 */
	public CallerClient caller(int index) {
		return new CallerClient(this.site.daemon(index).callers(), API_KEY);
	}

	/**
	 * Returns a caller of a daemon through its proxy for callers, which gives up when no
	 * answer begins.
	 * @param index the index of the daemon
	 * @return the caller
	 */
	public CallerClient callerThroughProxy(int index) {
		return new CallerClient(this.site.daemon(index).callerProxy().address(), API_KEY, CALLER_PATIENCE);
	}

	/**
	 * Returns a caller of an engine without daemon and proxy, for the answer that a
	 * daemon has to relay.
	 * @return the caller
	 */
	public CallerClient engineCaller() {
		Standin engine = this.site.engines().get(0).standin();
		return new CallerClient(new InetSocketAddress(engine.address(), engine.port()), API_KEY);
	}

	/**
	 * Returns an idempotency key that was not used before.
	 * @return the key
	 */
	public String newKey() {
		return "key-" + this.keys.incrementAndGet() + "-end";
	}

	/**
	 * Ends every fault, starts the daemons that ended and waits until each of them serves
	 * every kind of request again.
	 */
	public void restore() {
		this.site.clearFaults();
		this.site.engines().forEach((upstream) -> this.site.publish(upstream, ListedService.LIVE));
		this.site.services().forEach((upstream) -> this.site.publish(upstream, ListedService.LIVE));
		for (DaemonInstance daemon : this.site.daemons()) {
			if (!daemon.process().isAlive()) {
				daemon.start();
			}
		}
		this.site.daemons().forEach(DaemonInstance::awaitReady);
		for (int index = 0; index < this.site.daemons().size(); index++) {
			awaitServing(index);
		}
	}

	private void awaitServing(int index) {
		ConditionWaiter.await(() -> caller(index).book(BOOKINGS, newKey(), "{}").status() == STATUS_OK,
				() -> "bookings at daemon " + index + " fail: " + caller(index).book(BOOKINGS, newKey(), "{}"));
		ConditionWaiter.await(() -> caller(index).chat(FIXED_CHAT, "probe", 1, ChatForm.WHOLE).status() == STATUS_OK,
				() -> "chats at daemon " + index + " fail: "
						+ caller(index).chat(FIXED_CHAT, "probe", 1, ChatForm.WHOLE));
	}

	/**
	 * Sends requests until the retry budget of a daemon allows some retries.
	 * @param index the index of the daemon
	 */
	public void fillRetryBudget(int index) {
		for (int request = 0; request < REQUESTS_FOR_BUDGET; request++) {
			caller(index).chat(FIXED_CHAT, "budget", 1, ChatForm.WHOLE);
		}
	}

	/**
	 * Returns the sum of the requests that reached plain services.
	 * @param path the path
	 * @param body the body
	 * @return the number of executions
	 */
	public long executionsOf(String path, String body) {
		return this.site.services()
			.stream()
			.map(Upstream::standin)
			.mapToLong((service) -> service.executionsOf("POST", path,
					body.getBytes(java.nio.charset.StandardCharsets.UTF_8)))
			.sum();
	}

	/**
	 * Waits until every daemon shows a state for each upstream of a service.
	 * @param service the name of the service
	 * @param state the state
	 */
	public void awaitUpstreamStates(String service, String state) {
		this.site.daemons()
			.forEach((daemon) -> ConditionWaiter.await(
					() -> upstreamStates(daemon, service).stream().allMatch(state::equals),
					() -> daemon.host() + " shows " + upstreamStates(daemon, service)));
	}

	/**
	 * Waits until every daemon shows a state for one upstream.
	 * @param service the name of the service
	 * @param host the name of the upstream's host
	 * @param state the state
	 */
	public void awaitUpstreamState(String service, String host, String state) {
		String row = service + " " + host + " " + state;
		this.site.daemons()
			.forEach((daemon) -> ConditionWaiter.await(() -> upstreamRows(daemon).contains(row),
					() -> daemon.host() + " shows " + upstreamRows(daemon) + " and not " + row));
	}

	private static List<String> upstreamRows(DaemonInstance daemon) {
		List<String> rows = new ArrayList<>();
		daemon.operators()
			.get("/v1/upstreams")
			.json()
			.path("upstreams")
			.forEach((row) -> rows.add(
					row.path("service").asText() + " " + row.path("host").asText() + " " + row.path("state").asText()));
		return rows;
	}

	private static List<String> upstreamStates(DaemonInstance daemon, String service) {
		List<String> states = new ArrayList<>();
		daemon.operators().get("/v1/upstreams").json().path("upstreams").forEach((row) -> {
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

	private static String serviceEntry(String name, String prefix, String more) {
		return """
				name: %s
				kind: service
				owner: tests
				class: standard
				upstreams: ghiseu
				pathPrefix: %s
				idempotentMethods: [GET, HEAD]
				%s
				""".formatted(name, prefix, more);
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
