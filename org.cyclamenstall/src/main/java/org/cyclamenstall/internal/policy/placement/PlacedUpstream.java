package org.cyclamenstall.internal.policy.placement;

import java.util.LinkedHashSet;
import java.util.Set;

import org.cyclamenstall.hosts.HostState;
import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.policy.PromptShape;
import org.cyclamenstall.policy.RequestFacts;
import org.cyclamenstall.routes.RequestRank;

/**
 * Holds what this daemon knows of one upstream. Not thread-safe: the controller's lock
 * guards it.
 */
final class PlacedUpstream {

	/** How long an upstream with work may send nothing before it is taken as silent. */
	private static final long SILENT_NANOS = 800_000_000L;

	private final Set<PlacementGrant> running = new LinkedHashSet<>();

	private final CachedParts cache;

	private UpstreamTrust trust = new UpstreamTrust();

	private final Slowness slowness = new Slowness();

	private ListedHost host;

	private final LoadWindow window = new LoadWindow();

	private final EventPace pace = new EventPace();

	private final double[] unreadByRank = new double[RequestRank.LAST + 1];

	private long heardAtNanos;

	PlacedUpstream(ListedHost host, long memoryTokens) {
		this.host = host;
		this.cache = new CachedParts(memoryTokens);
	}

	ListedHost host() {
		return this.host;
	}

	void listed(ListedHost newer) {
		if (newer.incarnation() != this.host.incarnation()) {
			this.cache.clear();
			this.slowness.reset();
			this.trust = new UpstreamTrust();
		}
		this.host = newer;
	}

	boolean isLive() {
		return this.host.state() == HostState.LIVE;
	}

	UpstreamTrust trust() {
		return this.trust;
	}

	Slowness slowness() {
		return this.slowness;
	}

	int inFlight() {
		return this.running.size();
	}

	/**
	 * Returns the work that this daemon sent, that has no first event yet and that goes
	 * before a request: an engine reads the more urgent prompts first, any other upstream
	 * takes its requests in the order of their arrival.
	 * @param facts the request
	 * @return the work in prompt tokens
	 */
	double unreadBefore(RequestFacts facts) {
		int last = (facts.promptTokens() > 0) ? rank(facts) : RequestRank.LAST;
		double before = 0;
		for (int rank = 0; rank <= last; rank++) {
			before += this.unreadByRank[rank];
		}
		return before;
	}

	private static int rank(RequestFacts facts) {
		return Math.min(RequestRank.LAST, Math.max(0, facts.terms().priority()));
	}

	LoadWindow window() {
		return this.window;
	}

	/**
	 * Returns whether a request fits into the window beside the work that goes before it,
	 * and, if its prompt is long, whether the streams here do not suffer.
	 * @param ticket the request
	 * @param nowNanos the time on the monotonic clock
	 * @return {@code true} if it may be sent now
	 */
	boolean hasRoom(PlacementTicket ticket, long nowNanos) {
		return this.window.fits(unreadBefore(ticket.facts()), work(ticket))
				&& !(EngineDivision.isLong(ticket.facts()) && this.pace.isStrained(nowNanos));
	}

	EventPace pace() {
		return this.pace;
	}

	/**
	 * Returns the work that a request brings here.
	 * @param ticket the request
	 * @return the work in prompt tokens
	 */
	double work(PlacementTicket ticket) {
		PromptShape prompt = ticket.facts().terms().prompt();
		return (prompt.promptTokens() > 0) ? uncachedTokens(prompt) : PlacementTicket.PLAIN_WORK;
	}

	int uncachedTokens(PromptShape prompt) {
		return Math.max(0, prompt.promptTokens() - this.cache.cachedTokens(prompt.parts()));
	}

	/**
	 * Returns whether the upstream has work of this daemon and sends nothing.
	 * @param nowNanos the time on the monotonic clock
	 * @return {@code true} if it is silent
	 */
	boolean isSilent(long nowNanos) {
		if (this.running.isEmpty()) {
			return false;
		}
		long sinceNanos = Math.max(this.heardAtNanos, this.running.iterator().next().startedAtNanos());
		return nowNanos - sinceNanos > SILENT_NANOS;
	}

	void started(PlacementGrant grant) {
		if (this.running.isEmpty()) {
			this.heardAtNanos = grant.startedAtNanos();
		}
		this.running.add(grant);
		this.unreadByRank[rank(grant.facts())] += grant.unreadWork();
		this.cache.read(grant.facts().terms().prompt().parts());
	}

	void heard(long nowNanos) {
		this.heardAtNanos = nowNanos;
	}

	void read(PlacementGrant grant) {
		this.unreadByRank[rank(grant.facts())] -= grant.takeUnreadWork();
	}

	void ended(PlacementGrant grant) {
		this.running.remove(grant);
		read(grant);
	}

}
