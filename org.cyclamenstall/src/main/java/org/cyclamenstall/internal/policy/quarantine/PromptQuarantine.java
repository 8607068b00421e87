package org.cyclamenstall.internal.policy.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.stream.Collectors;

import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenstall.events.Event;
import org.cyclamenstall.events.EventLog;
import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.policy.PromptPart;
import org.cyclamenstall.policy.PromptShape;
import org.jspecify.annotations.Nullable;

/**
 * Decides which prompt parts crash upstreams, and refuses requests that have one. A part
 * is to blame if several upstreams crashed, at different times, before they responded to
 * a request with it, and none has begun to respond to such a request since. A part with
 * an earlier success needs more evidence, so that parts which many requests share are not
 * blamed for the crashes that another part causes.
 * <p>
 * Invariants: a success during a quarantine ends it, on whichever daemon it was seen;
 * every quarantine ends or is tested by a probe. The state is bounded, is lost with the
 * daemon and is relearned from the reports of the others. Performs no I/O. Thread-safe.
 */
public final class PromptQuarantine {

	/** Evidence for which a part without any known success is to blame. */
	private static final CrashCount THRESHOLD_WITHOUT_SUCCESS = new CrashCount(3, 2);

	/** Evidence since its last success for which any other part is to blame. */
	private static final CrashCount THRESHOLD_AFTER_SUCCESS = new CrashCount(6, 3);

	/** Evidence for which a part without any known success is not retried. */
	private static final CrashCount THRESHOLD_OF_RETRIES = new CrashCount(2, 2);

	/**
	 * Age from which a crash counts for a verdict. Until then, a response from the same
	 * run of the upstream can show that it did not crash.
	 */
	private static final long CONFIRMATION_NANOS = Duration.ofMillis(200).toNanos();

	/** Minimum time between two decisions on the whole evidence. */
	private static final long DECISION_INTERVAL_NANOS = Duration.ofMillis(50).toNanos();

	/** Maximum error of the time of an event that another daemon reports. */
	private static final long REPORT_TOLERANCE_NANOS = Duration.ofMillis(500).toNanos();

	/** Time after a success for which a part is not suspected of a crash. */
	private static final long RECENT_SUCCESS_NANOS = Duration.ofSeconds(1).toNanos();

	/** Time for which a success is reported that contradicts another daemon. */
	private static final long CONTRADICTION_NANOS = Duration.ofSeconds(3).toNanos();

	/** Minimum period over which the first probes of all daemons are spread. */
	private static final Duration MINIMUM_PROBE_PERIOD = Duration.ofSeconds(30);

	/** Period for each daemon over which the first probes are spread. */
	private static final Duration PROBE_PERIOD_PER_DAEMON = Duration.ofSeconds(2);

	private static final int MAXIMUM_QUARANTINED_PARTS = 64;

	private static final int MAXIMUM_REPORTED_VERDICTS = 16;

	private static final int MAXIMUM_REPORTED_SUCCESSES = 16;

	private final CrashEvidence evidence = new CrashEvidence();

	/** Successes that this daemon has seen or that another one reported. */
	private final PartSuccesses successes = new PartSuccesses();

	/** Successes that this daemon has seen; only these are reported. */
	private final PartSuccesses successesSeenHere = new PartSuccesses();

	private final Map<Long, QuarantinedPart> quarantinedParts = new HashMap<>();

	/**
	 * Parts that another daemon suspects or quarantines although this daemon has seen a
	 * success, with the time of the last report.
	 */
	private final Map<Long, Long> contradictedAtNanos = new HashMap<>();

	private final IntSupplier daemonCount;

	private final UniformRandomProvider random;

	private final EventLog events;

	private long decidedAtNanos = Long.MIN_VALUE / 2;

	/**
	 * Creates an instance without evidence.
	 * @param daemonCount returns the number of daemons, over which probes are spread
	 * @param random spreads the probes of the daemons
	 * @param events the event log
	 */
	public PromptQuarantine(IntSupplier daemonCount, UniformRandomProvider random, EventLog events) {
		this.daemonCount = daemonCount;
		this.random = random;
		this.events = events;
	}

	/**
	 * Returns the number of quarantined parts.
	 * @return the number
	 */
	public synchronized int size() {
		return this.quarantinedParts.size();
	}

	/**
	 * Decides whether a request may be sent. A request that may be sent as a probe must
	 * be reported with {@link #startProbe} when it is.
	 * @param service the upstream service
	 * @param prompt the prompt of the request
	 * @param nowNanos the time on the monotonic clock
	 * @return the reason for the refusal, or {@code null} if it may be sent
	 */
	public synchronized @Nullable QuarantineRefusal check(String service, PromptShape prompt, long nowNanos) {
		decide(nowNanos);
		if (this.quarantinedParts.isEmpty()) {
			return null;
		}
		this.quarantinedParts.values().removeIf((part) -> part.isForgotten(nowNanos));
		List<Long> parts = PartKeys.of(service, prompt);
		for (PromptPart part : prompt.shareableParts()) {
			QuarantinedPart quarantined = this.quarantinedParts.get(PartKeys.of(service, part));
			if (quarantined != null && !quarantined.admitsProbe(parts, nowNanos)) {
				return new QuarantineRefusal(part.id(), quarantined.ageMillis(nowNanos),
						retryAfter(quarantined, nowNanos));
			}
		}
		return null;
	}

	/**
	 * Records that a request is sent that {@link #check} admitted. If it has quarantined
	 * parts, it is the probe of all of them.
	 * @param service the upstream service
	 * @param prompt the prompt of the request
	 * @param nowNanos the time on the monotonic clock
	 */
	public synchronized void startProbe(String service, PromptShape prompt, long nowNanos) {
		if (this.quarantinedParts.isEmpty()) {
			return;
		}
		for (long part : PartKeys.of(service, prompt)) {
			QuarantinedPart quarantined = this.quarantinedParts.get(part);
			if (quarantined != null) {
				quarantined.startProbe(nowNanos);
			}
		}
	}

	private static Duration retryAfter(QuarantinedPart quarantined, long nowNanos) {
		Duration remaining = Duration.ofNanos(quarantined.remainingNanos(nowNanos));
		return (remaining.compareTo(MINIMUM_PROBE_PERIOD) > 0) ? remaining : MINIMUM_PROBE_PERIOD;
	}

	/**
	 * Returns whether a request may be sent to another upstream after one was lost. Once
	 * a part of its prompt is suspected of several crashes and has no known success, it
	 * may not.
	 * @param service the upstream service
	 * @param prompt the prompt of the request
	 * @param nowNanos the time on the monotonic clock
	 * @return {@code true} if it may be retried
	 */
	public synchronized boolean mayRetry(String service, PromptShape prompt, long nowNanos) {
		if (this.evidence.isEmpty() && this.quarantinedParts.isEmpty()) {
			return true;
		}
		for (long part : PartKeys.of(service, prompt)) {
			if (this.quarantinedParts.containsKey(part) || isSuspected(part, nowNanos)) {
				return false;
			}
		}
		return true;
	}

	private boolean isSuspected(long part, long nowNanos) {
		return this.successes.last(part) == null
				&& this.evidence.count(part, null, nowNanos).reaches(THRESHOLD_OF_RETRIES);
	}

	/**
	 * Records that an upstream began to respond to a request.
	 * @param upstream the upstream
	 * @param prompt the prompt of the request
	 * @param sentAtNanos the time at which the request was sent, on the monotonic clock
	 * @param nowNanos the time on the monotonic clock
	 */
	public synchronized void recordSuccess(ListedHost upstream, PromptShape prompt, long sentAtNanos, long nowNanos) {
		if (!this.evidence.isEmpty()) {
			this.evidence.withdraw(PartKeys.ofCrash(upstream), sentAtNanos);
		}
		for (long part : PartKeys.of(upstream.service(), prompt)) {
			this.successes.record(part, nowNanos);
			this.successesSeenHere.record(part, nowNanos);
			release(part, nowNanos);
		}
	}

	private void release(long part, long nowNanos) {
		QuarantinedPart quarantined = this.quarantinedParts.remove(part);
		if (quarantined != null) {
			this.contradictedAtNanos.put(part, nowNanos);
			this.events.record(new Event.PromptPartReleased(Long.toHexString(part), quarantined.ageMillis(nowNanos)));
		}
	}

	/**
	 * Records that the connection to an upstream was lost before it responded to a
	 * request.
	 * @param upstream the upstream
	 * @param prompt the prompt of the request
	 * @param nowNanos the time on the monotonic clock
	 */
	public synchronized void recordCrash(ListedHost upstream, PromptShape prompt, long nowNanos) {
		List<Long> parts = PartKeys.of(upstream.service(), prompt);
		List<Long> suspects = parts.stream()
			.filter((part) -> !this.successes.isKnownAfter(part, nowNanos - RECENT_SUCCESS_NANOS))
			.toList();
		if (suspects.isEmpty()) {
			return;
		}
		this.evidence.removeExpired(nowNanos);
		this.evidence.add(PartKeys.ofCrash(upstream), nowNanos, suspects, true);
		if (explain(suspects, nowNanos)) {
			return;
		}
		this.events.record(new Event.UpstreamCrashSuspected(upstream.host(),
				prompt.shareableParts().stream().map(PromptPart::id).collect(Collectors.joining(",")),
				suspects.stream()
					.map((part) -> Long.toHexString(part) + ":" + crashCount(part, nowNanos))
					.collect(Collectors.joining(","))));
	}

	private int crashCount(long part, long untilNanos) {
		return this.evidence.count(part, this.successes.last(part), untilNanos).crashes();
	}

	// A crash of a request with a quarantined part needs no other explanation. If the
	// request was a probe, the quarantine is repeated.
	private boolean explain(Collection<Long> parts, long nowNanos) {
		boolean explained = false;
		for (long part : parts) {
			QuarantinedPart quarantined = this.quarantinedParts.get(part);
			if (quarantined != null) {
				explained = true;
				this.evidence.explain(part);
				if (quarantined.isProbed()) {
					quarantine(part, nowNanos, quarantined.repetitions() + 1, 1, Set.of());
				}
			}
		}
		return explained;
	}

	// Decides on the evidence that is old enough. Of the parts with enough of it, those
	// with most are to blame. The others may have been in the same requests by chance;
	// they lose the evidence.
	private void decide(long nowNanos) {
		if (this.evidence.isEmpty() || nowNanos - this.decidedAtNanos < DECISION_INTERVAL_NANOS) {
			return;
		}
		this.decidedAtNanos = nowNanos;
		this.evidence.removeExpired(nowNanos);
		long untilNanos = nowNanos - CONFIRMATION_NANOS;
		List<Long> blamed = this.evidence.suspectedParts()
			.stream()
			.filter((part) -> isToBlame(part, untilNanos))
			.toList();
		int highestCount = blamed.stream().mapToInt((part) -> crashCount(part, untilNanos)).max().orElse(0);
		Set<Long> worst = blamed.stream()
			.filter((part) -> crashCount(part, untilNanos) == highestCount)
			.collect(Collectors.toSet());
		for (long part : worst) {
			Set<Long> companions = new HashSet<>(worst);
			companions.remove(part);
			quarantine(part, nowNanos, 0, highestCount, companions);
		}
	}

	private boolean isToBlame(long part, long untilNanos) {
		Long lastSuccess = this.successes.last(part);
		CrashCount threshold = (lastSuccess != null) ? THRESHOLD_AFTER_SUCCESS : THRESHOLD_WITHOUT_SUCCESS;
		return this.evidence.count(part, lastSuccess, untilNanos).reaches(threshold);
	}

	private void quarantine(long part, long nowNanos, int repetitions, int crashes, Set<Long> companions) {
		add(part, new QuarantinedPart(nowNanos, QuarantinedPart.durationNanos(repetitions), probeDelayNanos(),
				repetitions, companions));
		this.events.record(new Event.PromptPartQuarantined(Long.toHexString(part), crashes, repetitions,
				Duration.ofNanos(QuarantinedPart.durationNanos(repetitions)).toMillis(), "own evidence"));
	}

	private long probeDelayNanos() {
		long periodNanos = Math.max(MINIMUM_PROBE_PERIOD.toNanos(),
				PROBE_PERIOD_PER_DAEMON.multipliedBy(this.daemonCount.getAsInt()).toNanos());
		return (long) (this.random.nextDouble() * periodNanos);
	}

	private void add(long part, QuarantinedPart quarantined) {
		if (this.quarantinedParts.size() >= MAXIMUM_QUARANTINED_PARTS && !this.quarantinedParts.containsKey(part)) {
			this.quarantinedParts.entrySet()
				.stream()
				.min(Comparator.comparingLong((entry) -> entry.getValue().startedAtNanos()))
				.ifPresent((oldest) -> this.quarantinedParts.remove(oldest.getKey()));
		}
		this.quarantinedParts.put(part, quarantined);
		this.evidence.explain(part);
	}

	/**
	 * Creates the report to the other daemons.
	 * @param nowNanos the time on the monotonic clock
	 * @return the report
	 */
	public synchronized QuarantineReport createReport(long nowNanos) {
		decide(nowNanos);
		this.contradictedAtNanos.values().removeIf((atNanos) -> nowNanos - atNanos > CONTRADICTION_NANOS);
		if (this.evidence.isEmpty() && this.quarantinedParts.isEmpty() && this.contradictedAtNanos.isEmpty()) {
			return QuarantineReport.EMPTY;
		}
		List<QuarantineVerdict> verdicts = this.quarantinedParts.entrySet()
			.stream()
			.sorted(Comparator.comparingLong((entry) -> -entry.getValue().startedAtNanos()))
			.limit(MAXIMUM_REPORTED_VERDICTS)
			.map((entry) -> entry.getValue().verdict(entry.getKey(), nowNanos))
			.toList();
		List<CrashReport> crashes = this.evidence.reports(nowNanos, this.quarantinedParts::containsKey,
				(part) -> rank(part, nowNanos));
		return new QuarantineReport(crashes, reportedSuccesses(nowNanos), verdicts);
	}

	// Parts without any known success come first, then those with most crashes.
	private int rank(long part, long nowNanos) {
		int rank = -crashCount(part, nowNanos);
		return (this.successes.last(part) != null) ? rank : rank - Short.MAX_VALUE;
	}

	private List<PartSuccess> reportedSuccesses(long nowNanos) {
		List<PartSuccess> reported = new ArrayList<>();
		for (long part : this.contradictedAtNanos.keySet()) {
			Long last = this.successesSeenHere.last(part);
			if (last != null) {
				reported.add(new PartSuccess(part, Duration.ofNanos(nowNanos - last).toMillis() + 1));
			}
		}
		return reported.stream()
			.sorted(Comparator.comparingLong(PartSuccess::ageMillis))
			.limit(MAXIMUM_REPORTED_SUCCESSES)
			.toList();
	}

	/**
	 * Adds what another daemon reported.
	 * @param report the report
	 * @param nowNanos the time on the monotonic clock
	 */
	public synchronized void merge(QuarantineReport report, long nowNanos) {
		report.successes().forEach((success) -> merge(success, nowNanos));
		report.verdicts().forEach((verdict) -> merge(verdict, nowNanos));
		report.crashes().forEach((crash) -> merge(crash, nowNanos));
		decide(nowNanos);
	}

	private void merge(PartSuccess success, long nowNanos) {
		long atNanos = nowNanos - Duration.ofMillis(success.ageMillis()).toNanos();
		this.successes.record(success.part(), atNanos);
		QuarantinedPart quarantined = this.quarantinedParts.get(success.part());
		if (quarantined != null && atNanos - quarantined.startedAtNanos() > -REPORT_TOLERANCE_NANOS) {
			release(success.part(), nowNanos);
		}
	}

	private void merge(QuarantineVerdict verdict, long nowNanos) {
		long startedAtNanos = nowNanos - Duration.ofMillis(verdict.ageMillis()).toNanos();
		if (this.successes.isKnownAfter(verdict.part(), startedAtNanos - REPORT_TOLERANCE_NANOS)) {
			this.contradictedAtNanos.put(verdict.part(), nowNanos);
			return;
		}
		QuarantinedPart known = this.quarantinedParts.get(verdict.part());
		if (known != null && known.repetitions() >= verdict.repetitions()) {
			return;
		}
		QuarantinedPart reported = new QuarantinedPart(startedAtNanos,
				Duration.ofMillis(verdict.durationMillis()).toNanos(), probeDelayNanos(), verdict.repetitions(),
				Set.of());
		if (!reported.isForgotten(nowNanos)) {
			add(verdict.part(), reported);
			this.events.record(new Event.PromptPartQuarantined(Long.toHexString(verdict.part()), 0,
					verdict.repetitions(), verdict.durationMillis(), "another daemon"));
		}
	}

	private void merge(CrashReport crash, long nowNanos) {
		for (long part : crash.parts()) {
			if (this.successesSeenHere.last(part) != null) {
				this.contradictedAtNanos.put(part, nowNanos);
			}
		}
		this.evidence.add(crash.crash(), nowNanos - Duration.ofMillis(crash.ageMillis()).toNanos(), crash.parts(),
				false);
		crash.parts().stream().filter(this.quarantinedParts::containsKey).forEach(this.evidence::explain);
	}

}
