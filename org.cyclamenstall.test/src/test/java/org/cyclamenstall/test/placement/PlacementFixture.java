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
import org.cyclamenstall.internal.policy.placement.PlacementSettings;
import org.cyclamenstall.internal.policy.placement.PlacementTrafficController;
import org.cyclamenstall.junit.ManualClock;
import org.cyclamenstall.policy.PromptPart;
import org.cyclamenstall.policy.PromptShape;
import org.cyclamenstall.policy.RequestFacts;
import org.cyclamenstall.policy.RequestTerms;

/**
 * Runs a placement controller on a manual clock in front of listed upstreams.
 */
final class PlacementFixture {

	static final String SERVICE = "cuptor";

	private static final Duration CHAT_PAUSE = Duration.ofMillis(250);

	private final List<ListedHost> listed = new ArrayList<>();

	private final List<Consumer<HostSnapshot>> listeners = new ArrayList<>();

	final ManualClock clock;

	final List<Event> events = new ArrayList<>();

	final PlacementTrafficController controller;

	private int requests;

	PlacementFixture(int upstreams, String failureDomain, long seed) {
		this(upstreams, failureDomain, seed, new ManualClock());
	}

	PlacementFixture(int upstreams, String failureDomain, long seed, ManualClock clock) {
		this.clock = clock;
		for (int number = 0; number < upstreams; number++) {
			this.listed.add(new ListedHost(SERVICE, "engine-" + number, "127.0.0.1", 1_000 + number,
					"domain-" + number % 4, HostState.LIVE, 128, 1));
		}
		this.controller = new PlacementTrafficController(new PlacementSettings(10_000, 0.16, 4), new Hosts(),
				failureDomain, clock, RandomSource.XO_RO_SHI_RO_128_PP.create(seed), this.events::add,
				new PrometheusRegistry());
		this.controller.start();
	}

	void relist(int number, HostState state, long incarnation) {
		ListedHost before = this.listed.get(number);
		this.listed.set(number, new ListedHost(before.service(), before.host(), before.address(), before.port(),
				before.failureDomain(), state, before.slots(), incarnation));
		HostSnapshot snapshot = snapshot();
		this.listeners.forEach((listener) -> listener.accept(snapshot));
	}

	PlacedRequest chat() {
		return submit(stream("chat", 0, CHAT_PAUSE, Duration.ofMillis(300), Duration.ofSeconds(12), true,
				new PromptShape(800, 400, 290, List.of(new PromptPart("c" + this.requests, 800)))));
	}

	PlacedRequest plan(int priority, int tokens, String session) {
		List<PromptPart> parts = List.of(new PromptPart("system", 512), new PromptPart(session, 4_870),
				new PromptPart("own-" + this.requests, tokens - 5_382));
		return submit(stream("plan", priority, Duration.ofSeconds(1), Duration.ofMillis(1_500), Duration.ofSeconds(15),
				false, new PromptShape(tokens, 1_000, 380, parts)));
	}

	PlacedRequest summary() {
		return submit(stream("summary", 1, Duration.ofMillis(400), Duration.ofMillis(400), Duration.ofSeconds(3), false,
				new PromptShape(2_400, 60, 25, List.of(new PromptPart("s" + this.requests, 2_400)))));
	}

	PlacedRequest booking() {
		return submit(facts("booking", 2, null, Duration.ofMillis(300), Duration.ofMillis(800), false, false,
				PromptShape.NONE));
	}

	PlacedRequest lookup() {
		return submit(facts("lookup", 2, null, Duration.ofMillis(300), Duration.ofMillis(800), true, false,
				PromptShape.NONE));
	}

	private PlacedRequest submit(RequestFacts facts) {
		PlacedRequest request = new PlacedRequest(facts);
		request.ticket = this.controller.submit(facts, request);
		return request;
	}

	private RequestFacts stream(String name, int priority, Duration pause, Duration objective, Duration within,
			boolean resumable, PromptShape prompt) {
		return facts(name, priority, pause, objective, within, resumable, true, prompt);
	}

	private RequestFacts facts(String name, int priority, Duration pause, Duration objective, Duration within,
			boolean idempotent, boolean streamed, PromptShape prompt) {
		this.requests++;
		RequestTerms terms = new RequestTerms(SERVICE, priority, idempotent ? 2 : 1, objective, pause, within,
				idempotent && streamed, 5, prompt);
		return new RequestFacts("request-" + this.requests, entry(name, EntryKind.SERVICE),
				entry("account", EntryKind.ACCOUNT), Tier.INTERACTIVE, this.clock.nanoTime(), idempotent, streamed,
				null, terms);
	}

	private HostSnapshot snapshot() {
		return new HostSnapshot(Map.of(SERVICE, List.copyOf(this.listed)));
	}

	private static CatalogueEntry entry(String name, EntryKind kind) {
		return new CatalogueEntry(name, kind, "owner", Tier.INTERACTIVE, null, null, null, null, null, null, null, null,
				null, null, null, null);
	}

	private final class Hosts implements HostList {

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
