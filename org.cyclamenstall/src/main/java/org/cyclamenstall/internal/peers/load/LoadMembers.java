package org.cyclamenstall.internal.peers.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Tracks the daemons that exchange load reports. A daemon first reports to the seeds of
 * the settings; reports name other daemons, to which it then reports as well. A daemon
 * that is silent for a time is forgotten. Within a failure domain every daemon is sent
 * each report; in each other failure domain one daemon, a different one each time, which
 * relays it. Performs no I/O. Not thread-safe.
 */
public final class LoadMembers {

	/** Time without a report after which a daemon counts as gone. */
	public static final Duration EXPIRY = Duration.ofSeconds(2);

	/** Time for which a daemon that others named is sent reports without responding. */
	private static final Duration CANDIDATE_EXPIRY = Duration.ofSeconds(2);

	/** Interval at which a seed is sent a report although it does not respond. */
	private static final Duration SEED_INTERVAL = Duration.ofSeconds(1);

	private static final int MAXIMUM_NAMED_MEMBERS = 6;

	private final LoadEndpoint self;

	private final List<LoadEndpoint> seeds;

	private final UniformRandomProvider random;

	private final Map<LoadEndpoint, Long> heardAtNanos = new HashMap<>();

	private final Map<LoadEndpoint, LoadEndpoint> heardEndpoints = new HashMap<>();

	private final Map<LoadEndpoint, Long> candidatesSinceNanos = new HashMap<>();

	private long seedsContactedAtNanos = Long.MIN_VALUE / 2;

	/**
	 * Creates an instance that knows only the seeds.
	 * @param self the endpoint of this daemon
	 * @param seeds the endpoints to which the first reports are sent
	 * @param random selects the daemons that relay reports
	 */
	public LoadMembers(LoadEndpoint self, Collection<LoadEndpoint> seeds, UniformRandomProvider random) {
		this.self = self;
		this.seeds = seeds.stream().filter((seed) -> !seed.equals(self)).distinct().toList();
		this.random = random;
	}

	/**
	 * Records that a report was received.
	 * @param report the report
	 * @param nowNanos the time on the monotonic clock
	 */
	public void recordReport(LoadReport report, long nowNanos) {
		if (report.leaving()) {
			remove(report.sender());
			return;
		}
		if (!report.sender().equals(this.self)) {
			this.heardAtNanos.put(report.sender(), nowNanos);
			this.heardEndpoints.put(report.sender(), report.sender());
			this.candidatesSinceNanos.remove(report.sender());
		}
		for (LoadEndpoint member : report.members()) {
			if (!member.equals(this.self) && !this.heardAtNanos.containsKey(member)) {
				this.candidatesSinceNanos.putIfAbsent(member, nowNanos);
			}
		}
	}

	/**
	 * Forgets the daemons that were silent for too long.
	 * @param nowNanos the time on the monotonic clock
	 * @return the daemons that were heard from before and are forgotten now
	 */
	public List<LoadEndpoint> removeExpired(long nowNanos) {
		List<LoadEndpoint> expired = this.heardAtNanos.entrySet()
			.stream()
			.filter((entry) -> nowNanos - entry.getValue() > EXPIRY.toNanos())
			.map(Map.Entry::getKey)
			.toList();
		expired.forEach(this::remove);
		this.candidatesSinceNanos.values().removeIf((sinceNanos) -> nowNanos - sinceNanos > CANDIDATE_EXPIRY.toNanos());
		return expired;
	}

	/**
	 * Returns the number of daemons, including this one.
	 * @return the number
	 */
	public int size() {
		return this.heardAtNanos.size() + 1;
	}

	/**
	 * Selects the daemons to which the next report is sent together with the relayed
	 * ones: those of this failure domain, those that have not responded yet, and at
	 * intervals the seeds.
	 * @param nowNanos the time on the monotonic clock
	 * @return the daemons
	 */
	public Set<LoadEndpoint> directReceivers(long nowNanos) {
		Set<LoadEndpoint> receivers = new HashSet<>(neighbours());
		receivers.addAll(this.candidatesSinceNanos.keySet());
		if (nowNanos - this.seedsContactedAtNanos >= SEED_INTERVAL.toNanos()) {
			this.seedsContactedAtNanos = nowNanos;
			this.seeds.stream().filter((seed) -> !this.heardAtNanos.containsKey(seed)).forEach(receivers::add);
		}
		return receivers;
	}

	/**
	 * Selects one random daemon of each other failure domain, which relays the report.
	 * @return the daemons
	 */
	public List<LoadEndpoint> relayReceivers() {
		Map<String, List<LoadEndpoint>> byDomain = new HashMap<>();
		for (LoadEndpoint member : this.heardEndpoints.values()) {
			if (!isNeighbour(member)) {
				byDomain.computeIfAbsent(member.failureDomain(), (domain) -> new ArrayList<>()).add(member);
			}
		}
		return byDomain.values().stream().map((members) -> members.get(this.random.nextInt(members.size()))).toList();
	}

	/**
	 * Selects some random daemons to name in the next report.
	 * @return the daemons
	 */
	public List<LoadEndpoint> namedMembers() {
		List<LoadEndpoint> members = new ArrayList<>(this.heardEndpoints.values());
		List<LoadEndpoint> selected = new ArrayList<>();
		while (!members.isEmpty() && selected.size() < MAXIMUM_NAMED_MEMBERS) {
			selected.add(members.remove(this.random.nextInt(members.size())));
		}
		return selected;
	}

	private List<LoadEndpoint> neighbours() {
		return this.heardEndpoints.values().stream().filter(this::isNeighbour).toList();
	}

	private boolean isNeighbour(LoadEndpoint member) {
		return member.failureDomain().equals(this.self.failureDomain());
	}

	private void remove(LoadEndpoint member) {
		this.heardAtNanos.remove(member);
		this.heardEndpoints.remove(member);
		this.candidatesSinceNanos.remove(member);
	}

}
