package org.cyclamenstall.internal.policy.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;

import org.jspecify.annotations.Nullable;

/**
 * Collects recent crashes and the prompt parts that may have caused each one. A crash has
 * one cause: once a part is to blame, no other part is suspected of the crashes that it
 * explains. Bounded in the number of crashes and of parts of each. Not thread-safe.
 */
final class CrashEvidence {

	private static final long EXPIRY_NANOS = Duration.ofMinutes(1).toNanos();

	/** Interval within which several crashes belong to one moment. */
	private static final long COINCIDENCE_NANOS = Duration.ofMillis(300).toNanos();

	/** Time for which a crash is reported to the other daemons. */
	private static final long REPORT_NANOS = Duration.ofSeconds(3).toNanos();

	private static final int MAXIMUM_CRASHES = 64;

	private static final int MAXIMUM_PARTS = 48;

	private static final int MAXIMUM_REPORTED_CRASHES = 6;

	private static final int MAXIMUM_REPORTED_PARTS = 12;

	private final Map<Long, Crash> crashes = new LinkedHashMap<>();

	boolean isEmpty() {
		return this.crashes.isEmpty();
	}

	/**
	 * Adds suspected parts to a crash.
	 * @param crashKey the key of the crash
	 * @param atNanos the time of the crash on the monotonic clock
	 * @param parts the keys of the parts
	 * @param seenHere whether this daemon saw the crash
	 */
	void add(long crashKey, long atNanos, Iterable<Long> parts, boolean seenHere) {
		Crash crash = this.crashes.get(crashKey);
		if (crash == null) {
			if (this.crashes.size() >= MAXIMUM_CRASHES) {
				this.crashes.remove(this.crashes.keySet().iterator().next());
			}
			crash = new Crash(atNanos);
			this.crashes.put(crashKey, crash);
		}
		for (Long part : parts) {
			if (crash.parts.size() < MAXIMUM_PARTS) {
				crash.parts.add(part);
			}
			if (seenHere && crash.reportedParts.size() < MAXIMUM_PARTS) {
				crash.reportedParts.add(part);
			}
		}
	}

	/**
	 * Marks the crashes of which a part is suspected as explained by it.
	 * @param part the key of the part that is to blame
	 */
	void explain(long part) {
		for (Crash crash : this.crashes.values()) {
			crash.explained |= crash.parts.contains(part);
		}
	}

	/**
	 * Removes a crash, because the run of the upstream that was taken to have ended
	 * responded to a request that was sent later.
	 * @param crashKey the key of the crash
	 * @param sentAtNanos the time at which the request was sent, on the monotonic clock
	 */
	void withdraw(long crashKey, long sentAtNanos) {
		Crash crash = this.crashes.get(crashKey);
		if (crash != null && sentAtNanos - crash.atNanos > 0) {
			this.crashes.remove(crashKey);
		}
	}

	/**
	 * Counts the unexplained crashes in a period of which a part is suspected.
	 * @param part the key of the part
	 * @param afterNanos the start of the period on the monotonic clock, or {@code null}
	 * for any time
	 * @param untilNanos the end of the period on the monotonic clock
	 * @return the numbers of crashes and of moments
	 */
	CrashCount count(long part, @Nullable Long afterNanos, long untilNanos) {
		List<Crash> suspected = this.crashes.values()
			.stream()
			.filter((crash) -> !crash.explained && crash.parts.contains(part) && crash.atNanos - untilNanos <= 0
					&& (afterNanos == null || crash.atNanos - afterNanos > 0))
			.sorted(Comparator.comparingLong((crash) -> crash.atNanos))
			.toList();
		int moments = 0;
		long momentAtNanos = 0;
		for (Crash crash : suspected) {
			if (moments == 0 || crash.atNanos - momentAtNanos > COINCIDENCE_NANOS) {
				moments++;
				momentAtNanos = crash.atNanos;
			}
		}
		return new CrashCount(suspected.size(), moments);
	}

	/**
	 * Returns all parts that are suspected of an unexplained crash.
	 * @return the keys of the parts
	 */
	Set<Long> suspectedParts() {
		return this.crashes.values()
			.stream()
			.filter((crash) -> !crash.explained)
			.flatMap((crash) -> crash.parts.stream())
			.collect(Collectors.toSet());
	}

	/**
	 * Creates reports of the latest crashes that this daemon saw. If a crash has too many
	 * parts, those are reported that may be its cause.
	 * @param nowNanos the time on the monotonic clock
	 * @param isQuarantined whether a part is quarantined; such parts come first
	 * @param rank the rank of any other part; those with the lowest rank come next
	 * @return the reports
	 */
	List<CrashReport> reports(long nowNanos, Predicate<Long> isQuarantined, ToIntFunction<Long> rank) {
		List<CrashReport> reports = new ArrayList<>();
		List<Map.Entry<Long, Crash>> latest = this.crashes.entrySet()
			.stream()
			.filter((entry) -> !entry.getValue().reportedParts.isEmpty()
					&& nowNanos - entry.getValue().atNanos < REPORT_NANOS)
			.sorted(Comparator.comparingLong((entry) -> -entry.getValue().atNanos))
			.limit(MAXIMUM_REPORTED_CRASHES)
			.toList();
		for (Map.Entry<Long, Crash> entry : latest) {
			Set<Long> parts = mostSuspected(entry.getValue().reportedParts,
					(part) -> isQuarantined.test(part) ? Integer.MIN_VALUE : rank.applyAsInt(part));
			reports.add(new CrashReport(entry.getKey(),
					Math.max(0, Duration.ofNanos(nowNanos - entry.getValue().atNanos).toMillis()), parts));
		}
		return reports;
	}

	private static Set<Long> mostSuspected(Set<Long> parts, ToIntFunction<Long> rank) {
		Map<Long, Integer> ranks = new LinkedHashMap<>();
		parts.forEach((part) -> ranks.put(part, rank.applyAsInt(part)));
		return ranks.entrySet()
			.stream()
			.sorted(Map.Entry.comparingByValue())
			.limit(MAXIMUM_REPORTED_PARTS)
			.map(Map.Entry::getKey)
			.collect(Collectors.toSet());
	}

	void removeExpired(long nowNanos) {
		this.crashes.values().removeIf((crash) -> nowNanos - crash.atNanos > EXPIRY_NANOS);
	}

	/**
	 * Crash of an upstream with the parts that may have caused it.
	 */
	private static final class Crash {

		private final Set<Long> parts = new HashSet<>();

		private final Set<Long> reportedParts = new HashSet<>();

		private final long atNanos;

		private boolean explained;

		Crash(long atNanos) {
			this.atNanos = atNanos;
		}

	}

}
