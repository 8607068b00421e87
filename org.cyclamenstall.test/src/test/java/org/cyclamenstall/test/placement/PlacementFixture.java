package org.cyclamenstall.test.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenstall.catalogue.CatalogueEntry;
import org.cyclamenstall.catalogue.EntryKind;
import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.events.Event;
import org.cyclamenstall.hosts.HostList;
import org.cyclamenstall.hosts.HostSnapshot;
import org.cyclamenstall.hosts.HostState;
import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.internal.peers.load.FleetLoad;
import org.cyclamenstall.internal.policy.placement.PlacementSettings;
import org.cyclamenstall.internal.policy.placement.PlacementTrafficController;
import org.cyclamenstall.internal.policy.quarantine.PromptQuarantine;
import org.cyclamenstall.junit.ManualClock;
import org.cyclamenstall.policy.PromptPart;
import org.cyclamenstall.policy.PromptShape;
import org.cyclamenstall.policy.RequestAttributes;
import org.cyclamenstall.policy.RequestOptions;

/**
 * Runs a placement controller with a manual clock and a host list of engines. A chat is a
 * latency-sensitive stream with a short prompt; a plan is a stream with a long prompt
 * that starts with a shared system part and a session part; a summary is a stream with a
 * short prompt that is not latency-sensitive. Bookings and lookups have no prompt, and
 * only lookups are idempotent.
 */
final class PlacementFixture {

	static final String SERVICE = "cuptor";

	private static final int FLEET_RETRIES = 48;

	private static final Duration CHAT_EVENT_GAP = Duration.ofMillis(250);

	private final List<ListedHost> listedHosts = new ArrayList<>();

	private final List<Consumer<HostSnapshot>> listeners = new ArrayList<>();

	final ManualClock clock;

	final List<Event> events = new ArrayList<>();

	final FleetLoad fleetLoad = new FleetLoad();

	final PromptQuarantine quarantine;

	/** Names of the accounts of the requests that upstreams began. */
	final List<String> startedAccounts = new ArrayList<>();

	/** Engine time of the requests that were sent, in nanoseconds. */
	long engineNanos;

	final PlacementTrafficController controller;

	/** Called for each event after it was recorded. */
	volatile Consumer<Event> eventListener = (event) -> {
	};

	private int requestCount;

	PlacementFixture(int upstreams, String failureDomain, long seed) {
		this(upstreams, failureDomain, seed, new ManualClock());
	}

	PlacementFixture(int upstreams, String failureDomain, long seed, ManualClock clock) {
		this.clock = clock;
		for (int index = 0; index < upstreams; index++) {
			this.listedHosts.add(new ListedHost(SERVICE, "engine-" + index, "127.0.0.1", 1_000 + index,
					"domain-" + index % 4, HostState.LIVE, 128, 1));
		}
		this.quarantine = new PromptQuarantine(() -> 1, RandomSource.XO_RO_SHI_RO_128_PP.create(seed),
				this.events::add);
		this.controller = new PlacementTrafficController(new PlacementSettings(10_000, 0.16, FLEET_RETRIES),
				new FixtureHostList(), failureDomain, this.fleetLoad, this.quarantine,
				(attributes, ageNanos) -> this.startedAccounts.add(attributes.account().name()),
				(service, nanos) -> this.engineNanos += nanos, clock, RandomSource.XO_RO_SHI_RO_128_PP.create(seed),
				(event) -> {
					this.events.add(event);
					this.eventListener.accept(event);
				}, new PrometheusRegistry());
		this.controller.start();
	}

	void updateHost(int index, HostState state, long incarnation) {
		ListedHost previous = this.listedHosts.get(index);
		this.listedHosts.set(index, new ListedHost(previous.service(), previous.host(), previous.address(),
				previous.port(), previous.failureDomain(), state, previous.slots(), incarnation));
		HostSnapshot snapshot = snapshot();
		this.listeners.forEach((listener) -> listener.accept(snapshot));
	}

	ListedHost host(int index) {
		return this.listedHosts.get(index);
	}

	/**
	 * Lists an upstream with its next incarnation.
	 */
	void restartHost(String name) {
		for (int index = 0; index < this.listedHosts.size(); index++) {
			if (host(index).host().equals(name)) {
				updateHost(index, HostState.LIVE, host(index).incarnation() + 1);
			}
		}
	}

	PlacedRequest submitChat() {
		return submit(stream("chat", 0, CHAT_EVENT_GAP, Duration.ofMillis(300), Duration.ofSeconds(12), true,
				new PromptShape(800, 400, 290, List.of(new PromptPart("c" + this.requestCount, 800)))));
	}

	PlacedRequest submitPlan(int priority, int promptTokens, String session) {
		List<PromptPart> parts = List.of(new PromptPart("system", 512), new PromptPart(session, 4_870),
				new PromptPart("own-" + this.requestCount, promptTokens - 5_382));
		return submit(stream("plan", priority, Duration.ofSeconds(1), Duration.ofMillis(1_500), Duration.ofSeconds(15),
				false, new PromptShape(promptTokens, 1_000, 380, parts)));
	}

	/**
	 * Submits a plan whose caller waits only for a limited time for the first event.
	 */
	PlacedRequest submitImpatientPlan(Duration firstEventTimeout) {
		PromptShape prompt = new PromptShape(12_000, 1_000, 380, List.of(new PromptPart("impatient", 12_000)));
		RequestOptions options = new RequestOptions(SERVICE, 2, 1, Duration.ofMillis(1_500), Duration.ofSeconds(1),
				firstEventTimeout, Duration.ofSeconds(15), false, 10, prompt);
		return submit(attributes("plan", false, true, options));
	}

	/**
	 * Submits a resumable stream with a short prompt, whose first part other requests may
	 * share.
	 */
	PlacedRequest submitDialogue(String sharedPart) {
		List<PromptPart> parts = List.of(new PromptPart(sharedPart, 300),
				new PromptPart("turn-" + this.requestCount, 100));
		return submit(stream("dialogue", 0, CHAT_EVENT_GAP, Duration.ofMillis(300), Duration.ofSeconds(12), true,
				new PromptShape(400, 100, 50, parts)));
	}

	PlacedRequest submitSummary() {
		return submit(stream("summary", 1, Duration.ofMillis(400), Duration.ofMillis(400), Duration.ofSeconds(3), false,
				new PromptShape(2_400, 60, 25, List.of(new PromptPart("s" + this.requestCount, 2_400)))));
	}

	PlacedRequest submitBooking() {
		return submit(attributes("booking", 2, null, Duration.ofMillis(300), Duration.ofMillis(800), false, false,
				PromptShape.NONE));
	}

	PlacedRequest submitLookup() {
		return submit(attributes("lookup", 2, null, Duration.ofMillis(300), Duration.ofMillis(800), true, false,
				PromptShape.NONE));
	}

	private PlacedRequest submit(RequestAttributes attributes) {
		PlacedRequest request = new PlacedRequest(attributes);
		request.ticket = this.controller.submit(attributes, request);
		return request;
	}

	private RequestAttributes stream(String name, int priority, Duration eventGap, Duration objective, Duration timeout,
			boolean resumable, PromptShape prompt) {
		return attributes(name, priority, eventGap, objective, timeout, resumable, true, prompt);
	}

	private RequestAttributes attributes(String name, int priority, Duration eventGap, Duration objective,
			Duration timeout, boolean idempotent, boolean streamed, PromptShape prompt) {
		return attributes(name, idempotent, streamed, new RequestOptions(SERVICE, priority, idempotent ? 2 : 1,
				objective, eventGap, null, timeout, idempotent && streamed, 5, prompt));
	}

	private RequestAttributes attributes(String name, boolean idempotent, boolean streamed, RequestOptions options) {
		this.requestCount++;
		return new RequestAttributes("request-" + this.requestCount, entry(name, EntryKind.SERVICE),
				entry("account", EntryKind.ACCOUNT), Tier.INTERACTIVE, this.clock.nanoTime(), idempotent, streamed,
				null, options);
	}

	private HostSnapshot snapshot() {
		return new HostSnapshot(Map.of(SERVICE, List.copyOf(this.listedHosts)));
	}

	private static CatalogueEntry entry(String name, EntryKind kind) {
		return new CatalogueEntry(name, kind, "owner", Tier.INTERACTIVE, null, null, null, null, null, null, null, null,
				null, null, null, null);
	}

	private final class FixtureHostList implements HostList {

		@Override
		public HostSnapshot current() {
			return snapshot();
		}

		@Override
		public void addListener(Consumer<HostSnapshot> listener) {
			PlacementFixture.this.listeners.add(listener);
		}

		@Override
		public void watch(String service) {
		}

	}

}
