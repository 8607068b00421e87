package org.cyclamenstall.internal.policy.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
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
 * Invariants: a success later than the start of a quarantine ends it, on whichever daemon
 * it was seen; every quarantine ends or is tested by a probe. The state is bounded, is
 * lost with the daemon and is relearned from the reports of the others. Performs no I/O.
 * Thread-safe.
 */
public final class PromptQuarantine {

	/** Evidence for which a part without any known success is to blame. */
	private static final CrashCount THRESHOLD_WITHOUT_SUCCESS = new CrashCount(3, 2);

	/** Evidence since its last success for which any other part is to blame. */
	private static final CrashCount THRESHOLD_AFTER_SUCCESS = new CrashCount(6, 3);

	/** Number of crashes for which a part without any known success is not retried. */
	private static final int CRASHES_WITHOUT_RETRY = 2;

	/** Time after a success for which a part is not suspected of a crash. */
	private static final long RECENT_SUCCESS_NANOS = Duration.ofSeconds(1).toNanos();

	/** Time for which successes are reported that contradict another daemon. */
	private static final long DISPUTE_NANOS = Duration.ofSeconds(3).toNanos();

	/** Maximum random delay of the first probe, which spreads those of the daemons. */
	private static final Duration MAXIMUM_PROBE_DELAY = Duration.ofSeconds(30);

	private static final int MAXIMUM_QUARANTINED_PARTS = 64;

	private static final int MAXIMUM_REPORTED_VERDICTS = 16;

	private static final int MAXIMUM_REPORTED_SUCCESSES = 16;

	private final CrashEvidence evidence = new CrashEvidence();

	private final PartSuccesses successes = new PartSuccesses();

	private final Map<Long, QuarantinedPart> quarantinedParts = new HashMap<>();

	/** Parts whose successes contradict another daemon, with the time of its report. */
	private final Map<Long, Long> disputedAtNanos = new HashMap<>();

	private final UniformRandomProvider random;

	private final EventLog events;

	/**
	 * Creates an instance without evidence.
	 * @param random spreads the probes of the daemons
	 * @param events the event log
	 */
	public PromptQuarantine(UniformRandomProvider random, EventLog events) {
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
	 * Decides whether a request may be sent. A request that is admitted as a probe must
	 * be sent or reported as ended.
	 * @param service the upstream service
	 * @param prompt the prompt of the request
	 * @param nowNanos the time on the monotonic clock
	 * @return the reason for the refusal, or {@code null} if it may be sent
	 */
	public synchronized @Nullable QuarantineRefusal check(String service, PromptShape prompt, long nowNanos) {
		if (this.quarantinedParts.isEmpty()) {
			return null;
		}
		this.quarantinedParts.values().removeIf((part) -> part.isForgotten(nowNanos));
		for (PromptPart part : prompt.shareableParts()) {
			QuarantinedPart quarantined = this.quarantinedParts.get(PartKeys.of(service, part));
			if (quarantined != null && !quarantined.admitProbe(nowNanos)) {
				return new QuarantineRefusal(part.id(), quarantined.ageMillis(nowNanos),
						retryAfter(quarantined, nowNanos));
			}
		}
		return null;
	}

	private static Duration retryAfter(QuarantinedPart quarantined, long nowNanos) {
		Duration remaining = Duration.ofNanos(quarantined.remainingNanos(nowNanos));
		return (remaining.compareTo(MAXIMUM_PROBE_DELAY) > 0) ? remaining : MAXIMUM_PROBE_DELAY;
	}

	/**
	 * Returns whether a request may be sent to another upstream after one was lost. Once
	 * a part of its prompt is suspected of several crashes and has no known success, it
	 * may not.
	 * @param service the upstream service
	 * @param prompt the prompt of the request
	 * @return {@code true} if it may be retried
	 */
	public synchronized boolean mayRetry(String service, PromptShape prompt) {
		if (this.evidence.isEmpty() && this.quarantinedParts.isEmpty()) {
			return true;
		}
		for (long part : PartKeys.of(service, prompt)) {
			if (this.quarantinedParts.containsKey(part) || isSuspected(part)) {
				return false;
			}
		}
		return true;
	}

	private boolean isSuspected(long part) {
		return this.successes.last(part) == null && crashCount(part) >= CRASHES_WITHOUT_RETRY;
	}

	/**
	 * Records that an upstream began to respond to a request.
	 * @param service the upstream service
	 * @param prompt the prompt of the request
	 * @param nowNanos the time on the monotonic clock
	 */
	public synchronized void recordSuccess(String service, PromptShape prompt, long nowNanos) {
		for (long part : PartKeys.of(service, prompt)) {
			recordSuccess(part, nowNanos, nowNanos);
		}
	}

	private void recordSuccess(long part, long atNanos, long nowNanos) {
		this.successes.record(part, atNanos);
		QuarantinedPart quarantined = this.quarantinedParts.get(part);
		if (quarantined != null && atNanos - quarantined.startedAtNanos() > 0) {
			this.quarantinedParts.remove(part);
			this.disputedAtNanos.put(part, nowNanos);
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
		if (isExplained(parts, nowNanos)) {
			return;
		}
		List<Long> suspects = parts.stream()
			.filter((part) -> !this.successes.isKnownAfter(part, nowNanos - RECENT_SUCCESS_NANOS))
			.toList();
		if (suspects.isEmpty()) {
			return;
		}
		this.evidence.removeExpired(nowNanos);
		this.evidence.add(PartKeys.ofCrash(upstream), nowNanos, suspects, true);
		this.events.record(new Event.UpstreamCrashSuspected(upstream.host(),
				prompt.shareableParts().stream().map(PromptPart::id).collect(Collectors.joining(",")),
				suspects.stream()
					.map((part) -> Long.toHexString(part) + ":" + crashCount(part))
					.collect(Collectors.joining(","))));
		blame(suspects, nowNanos);
	}

	private int crashCount(long part) {
		return this.evidence.count(part, this.successes.last(part)).crashes();
	}

	// A crash of a request with a quarantined part needs no other explanation. If the
	// request was a probe, the quarantine is repeated.
	private boolean isExplained(Collection<Long> parts, long nowNanos) {
		boolean explained = false;
		for (long part : parts) {
			QuarantinedPart quarantined = this.quarantinedParts.get(part);
			if (quarantined != null) {
				explained = true;
				if (quarantined.isProbed()) {
					quarantine(part, nowNanos, quarantined.repetitions() + 1, crashCount(part) + 1);
				}
			}
		}
		return explained;
	}

	// Of the parts with enough evidence, those with most of it are to blame. The others
	// may have been in the same requests by chance; they lose the evidence.
	private void blame(Collection<Long> suspects, long nowNanos) {
		List<Long> blamed = suspects.stream().filter(this::isToBlame).toList();
		int highestCount = blamed.stream().mapToInt(this::crashCount).max().orElse(0);
		List<Long> worst = blamed.stream().filter((part) -> crashCount(part) == highestCount).toList();
		for (long part : worst) {
			quarantine(part, nowNanos, 0, highestCount);
		}
	}

	private boolean isToBlame(long part) {
		Long lastSuccess = this.successes.last(part);
		CrashCount threshold = (lastSuccess != null) ? THRESHOLD_AFTER_SUCCESS : THRESHOLD_WITHOUT_SUCCESS;
		return this.evidence.count(part, lastSuccess).reaches(threshold);
	}

	private void quarantine(long part, long nowNanos, int repetitions, int crashes) {
		add(part, new QuarantinedPart(nowNanos, QuarantinedPart.durationNanos(repetitions), probeDelayNanos(),
				repetitions));
		this.events.record(new Event.PromptPartQuarantined(Long.toHexString(part), crashes, repetitions,
				Duration.ofNanos(QuarantinedPart.durationNanos(repetitions)).toMillis(), "own evidence"));
	}

	private long probeDelayNanos() {
		return (long) (this.random.nextDouble() * MAXIMUM_PROBE_DELAY.toNanos());
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
		if (this.evidence.isEmpty() && this.quarantinedParts.isEmpty() && this.disputedAtNanos.isEmpty()) {
			return QuarantineReport.EMPTY;
		}
		this.evidence.removeExpired(nowNanos);
		this.disputedAtNanos.values().removeIf((atNanos) -> nowNanos - atNanos > DISPUTE_NANOS);
		List<QuarantineVerdict> verdicts = this.quarantinedParts.entrySet()
			.stream()
			.sorted(Comparator.comparingLong((entry) -> -entry.getValue().startedAtNanos()))
			.limit(MAXIMUM_REPORTED_VERDICTS)
			.map((entry) -> entry.getValue().verdict(entry.getKey(), nowNanos))
			.toList();
		return new QuarantineReport(this.evidence.reports(nowNanos), reportedSuccesses(nowNanos), verdicts);
	}

	private List<PartSuccess> reportedSuccesses(long nowNanos) {
		return this.disputedAtNanos.keySet()
			.stream()
			.map((part) -> success(part, nowNanos))
			.sorted(Comparator.comparingLong(PartSuccess::ageMillis))
			.limit(MAXIMUM_REPORTED_SUCCESSES)
			.toList();
	}

	private PartSuccess success(long part, long nowNanos) {
		Long last = this.successes.last(part);
		long ageNanos = (last != null) ? Math.max(0, nowNanos - last) : 0;
		return new PartSuccess(part, Duration.ofNanos(ageNanos).toMillis());
	}

	/**
	 * Adds what another daemon reported.
	 * @param report the report
	 * @param nowNanos the time on the monotonic clock
	 */
	public synchronized void merge(QuarantineReport report, long nowNanos) {
		for (PartSuccess success : report.successes()) {
			recordSuccess(success.part(), nowNanos - Duration.ofMillis(success.ageMillis()).toNanos(), nowNanos);
		}
		for (QuarantineVerdict verdict : report.verdicts()) {
			merge(verdict, nowNanos);
		}
		Set<Long> suspects = new TreeSet<>();
		for (CrashReport crash : report.crashes()) {
			merge(crash, nowNanos);
			suspects.addAll(crash.parts());
		}
		suspects.removeAll(this.quarantinedParts.keySet());
		blame(suspects, nowNanos);
	}

	private void merge(QuarantineVerdict verdict, long nowNanos) {
		long startedAtNanos = nowNanos - Duration.ofMillis(verdict.ageMillis()).toNanos();
		if (this.successes.isKnownAfter(verdict.part(), startedAtNanos)) {
			this.disputedAtNanos.put(verdict.part(), nowNanos);
			return;
		}
		QuarantinedPart known = this.quarantinedParts.get(verdict.part());
		if (known != null && known.repetitions() >= verdict.repetitions()) {
			return;
		}
		QuarantinedPart reported = new QuarantinedPart(startedAtNanos,
				Duration.ofMillis(verdict.durationMillis()).toNanos(), probeDelayNanos(), verdict.repetitions());
		if (!reported.isForgotten(nowNanos)) {
			add(verdict.part(), reported);
			this.events.record(new Event.PromptPartQuarantined(Long.toHexString(verdict.part()), 0,
					verdict.repetitions(), verdict.durationMillis(), "another daemon"));
		}
	}

	private void merge(CrashReport crash, long nowNanos) {
		List<Long> parts = new ArrayList<>(crash.parts());
		for (long part : parts) {
			if (this.successes.last(part) != null) {
				this.disputedAtNanos.put(part, nowNanos);
			}
		}
		if (parts.stream().noneMatch(this.quarantinedParts::containsKey)) {
			this.evidence.add(crash.crash(), nowNanos - Duration.ofMillis(crash.ageMillis()).toNanos(), parts, false);
		}
	}

}
