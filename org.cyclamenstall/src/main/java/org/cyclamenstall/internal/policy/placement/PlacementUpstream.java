package org.cyclamenstall.internal.policy.placement;

import java.util.LinkedHashSet;
import java.util.Set;

import org.cyclamenstall.hosts.HostState;
import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.internal.peers.load.FleetLoad;
import org.cyclamenstall.internal.peers.load.UpstreamLoad;
import org.cyclamenstall.policy.PromptShape;
import org.cyclamenstall.policy.RequestAttributes;
import org.cyclamenstall.routes.RequestPriority;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the load, health and estimated cache content of one upstream, as seen by this
 * daemon. Not thread-safe: guarded by the lock of the controller.
 */
final class PlacementUpstream {

	/**
	 * Time without data after which an upstream with running requests counts as
	 * unresponsive.
	 */
	private static final long UNRESPONSIVE_NANOS = 800_000_000L;

	private final Set<PlacementGrant> running = new LinkedHashSet<>();

	private final PrefixCacheEstimate prefixCache;

	private UpstreamHealth health = new UpstreamHealth();

	private RefusalBackoff refusals = new RefusalBackoff();

	private final RelativeLatency relativeLatency = new RelativeLatency();

	private ListedHost host;

	private final PendingWorkWindow window = new PendingWorkWindow();

	private final EventGapMonitor eventGaps = new EventGapMonitor();

	private final FleetLoad fleetLoad;

	private final UpstreamAnnouncements announcements;

	private final long upstreamKey;

	private final double[] pendingPrefillByPriority = new double[RequestPriority.LOWEST + 1];

	private int latencySensitive;

	private long lastDataReceivedAtNanos;

	PlacementUpstream(ListedHost host, long cacheTokens, FleetLoad fleetLoad, UpstreamAnnouncements announcements) {
		this.announcements = announcements;
		this.host = host;
		this.fleetLoad = fleetLoad;
		this.upstreamKey = UpstreamLoad.keyOf(host.host());
		this.prefixCache = new PrefixCacheEstimate(cacheTokens);
	}

	ListedHost host() {
		return this.host;
	}

	/**
	 * Updates the listed host. A new incarnation resets the cache estimate, the relative
	 * latency and the health.
	 * @param newHost the listed host
	 */
	void updateHost(ListedHost newHost) {
		if (newHost.incarnation() != this.host.incarnation()) {
			this.prefixCache.clear();
			this.relativeLatency.reset();
			this.health = new UpstreamHealth();
			this.refusals = new RefusalBackoff();
		}
		this.host = newHost;
	}

	/**
	 * Returns whether the upstream accepts new requests, by the list and by its own word.
	 * @return {@code false} if it leaves
	 */
	boolean isLive() {
		return this.host.state() == HostState.LIVE && !this.announcements.isLeaving(this.host);
	}

	/**
	 * Returns whether a request may be sent now. Unlike the health, this is not a
	 * preference.
	 * @param nowNanos the time on the monotonic clock
	 * @return {@code false} if the upstream leaves or wants no requests, and shortly
	 * after that
	 */
	boolean acceptsRequests(long nowNanos) {
		return isLive() && remainingUnavailableNanos(nowNanos) == 0
				&& !(this.announcements.isReturning(this.host) && inFlight() > 0);
	}

	long remainingUnavailableNanos(long nowNanos) {
		return this.announcements.remainingUnavailableNanos(this.host, nowNanos);
	}

	RefusalBackoff refusals() {
		return this.refusals;
	}

	UpstreamHealth health() {
		return this.health;
	}

	RelativeLatency relativeLatency() {
		return this.relativeLatency;
	}

	int inFlight() {
		return this.running.size();
	}

	/**
	 * Returns the number of requests that all daemons have in flight here.
	 * @return the number, as far as the other daemons have reported it
	 */
	int fleetInFlight() {
		return this.running.size() + this.fleetLoad.running(this.upstreamKey);
	}

	/**
	 * Returns the number of latency-sensitive streams that all daemons have in flight
	 * here.
	 * @return the number, as far as the other daemons have reported it
	 */
	int fleetLatencySensitive() {
		return this.latencySensitive + this.fleetLoad.latencySensitive(this.upstreamKey);
	}

	/**
	 * Returns the load of this daemon at the upstream.
	 * @return the load, or {@code null} if there is none
	 */
	@Nullable UpstreamLoad localLoad() {
		if (this.running.isEmpty()) {
			return null;
		}
		int[] pendingTokens = new int[this.pendingPrefillByPriority.length];
		for (int priority = 0; priority < pendingTokens.length; priority++) {
			pendingTokens[priority] = (int) Math.max(0, this.pendingPrefillByPriority[priority]);
		}
		return new UpstreamLoad(this.upstreamKey, this.running.size(), this.latencySensitive, pendingTokens);
	}

	/**
	 * Returns the pending prefill of all daemons that the upstream processes before a
	 * request. Engines prefill prompts by priority; other upstreams process requests in
	 * order of arrival.
	 * @param attributes the request attributes
	 * @return the pending work in prompt tokens
	 */
	double pendingPrefillAhead(RequestAttributes attributes) {
		int lowestPriority = (attributes.promptTokens() > 0) ? priority(attributes) : RequestPriority.LOWEST;
		double pending = 0;
		for (int priority = 0; priority <= lowestPriority; priority++) {
			pending += this.pendingPrefillByPriority[priority];
		}
		return pending + this.fleetLoad.pendingTokens(this.upstreamKey, lowestPriority);
	}

	private static int priority(RequestAttributes attributes) {
		return Math.min(RequestPriority.LOWEST, Math.max(0, attributes.options().priority()));
	}

	PendingWorkWindow window() {
		return this.window;
	}

	/**
	 * Returns whether the pending work ahead of a request leaves room for it in the
	 * window. A long prompt is also held back while the event gaps of running streams are
	 * too long.
	 * @param ticket the request
	 * @param referenceTokens the size of a window that was neither shrunk nor grown
	 * @param nowNanos the time on the monotonic clock
	 * @return {@code true} if it may be sent now
	 */
	boolean hasRoom(PlacementTicket ticket, double referenceTokens, long nowNanos) {
		return this.window.fits(pendingPrefillAhead(ticket.attributes()), uncachedWorkTokens(ticket), referenceTokens)
				&& !(EnginePartition.isLongPrompt(ticket.attributes()) && this.eventGaps.isOverloaded(nowNanos));
	}

	boolean hasFreeSlot() {
		int slots = this.host.slots();
		return slots <= 0 || fleetInFlight() < slots;
	}

	EventGapMonitor eventGaps() {
		return this.eventGaps;
	}

	/**
	 * Returns the work that a request causes at this upstream.
	 * @param ticket the request
	 * @return the work in prompt tokens
	 */
	double uncachedWorkTokens(PlacementTicket ticket) {
		PromptShape prompt = ticket.attributes().options().prompt();
		return (prompt.promptTokens() > 0) ? uncachedTokens(prompt) : PlacementTicket.PLAIN_REQUEST_TOKENS;
	}

	int uncachedTokens(PromptShape prompt) {
		return Math.max(0, prompt.promptTokens() - this.prefixCache.cachedTokens(prompt.parts()));
	}

	/**
	 * Returns whether the upstream has running requests of this daemon but has sent no
	 * data for {@link #UNRESPONSIVE_NANOS}.
	 * @param nowNanos the time on the monotonic clock
	 * @return {@code true} if it is unresponsive
	 */
	boolean isUnresponsive(long nowNanos) {
		if (this.running.isEmpty()) {
			return false;
		}
		long lastProgressAtNanos = Math.max(this.lastDataReceivedAtNanos,
				this.running.iterator().next().startedAtNanos());
		return nowNanos - lastProgressAtNanos > UNRESPONSIVE_NANOS;
	}

	void recordStart(PlacementGrant grant) {
		if (this.running.isEmpty()) {
			this.lastDataReceivedAtNanos = grant.startedAtNanos();
		}
		this.running.add(grant);
		this.latencySensitive += EnginePartition.isLatencySensitive(grant.attributes()) ? 1 : 0;
		this.pendingPrefillByPriority[priority(grant.attributes())] += grant.pendingPrefill();
		this.prefixCache.recordPrompt(grant.attributes().options().prompt().parts());
	}

	void recordDataReceived(long nowNanos) {
		this.lastDataReceivedAtNanos = nowNanos;
	}

	void recordPrefillEnd(PlacementGrant grant) {
		this.pendingPrefillByPriority[priority(grant.attributes())] -= grant.clearPendingPrefill();
	}

	void recordEnd(PlacementGrant grant) {
		if (this.running.remove(grant)) {
			this.latencySensitive -= EnginePartition.isLatencySensitive(grant.attributes()) ? 1 : 0;
		}
		recordPrefillEnd(grant);
	}

}
