package org.cyclamenstall.internal.policy.quarantine;

import java.util.List;

/**
 * Holds what a daemon tells the others about prompt parts that crash upstreams.
 * Immutable.
 *
 * @param crashes the latest crashes that this daemon has seen
 * @param successes the latest successes of the suspected or quarantined parts
 * @param verdicts the quarantined parts
 */
public record QuarantineReport(List<CrashReport> crashes, List<PartSuccess> successes,
		List<QuarantineVerdict> verdicts) {

	/** Report without contents. */
	public static final QuarantineReport EMPTY = new QuarantineReport(List.of(), List.of(), List.of());

	/**
	 * Returns this report with higher ages, because it is passed on later.
	 * @param millis the time for which it was held, in milliseconds
	 * @return the report
	 */
	public QuarantineReport aged(long millis) {
		if (isEmpty()) {
			return this;
		}
		return new QuarantineReport(
				this.crashes.stream()
					.map((crash) -> new CrashReport(crash.crash(), crash.ageMillis() + millis, crash.parts()))
					.toList(),
				this.successes.stream()
					.map((success) -> new PartSuccess(success.part(), success.ageMillis() + millis))
					.toList(),
				this.verdicts.stream()
					.map((verdict) -> new QuarantineVerdict(verdict.part(), verdict.ageMillis() + millis,
							verdict.durationMillis(), verdict.repetitions()))
					.toList());
	}

	/**
	 * Returns whether there is nothing to tell.
	 * @return {@code true} if all lists are empty
	 */
	public boolean isEmpty() {
		return this.crashes.isEmpty() && this.successes.isEmpty() && this.verdicts.isEmpty();
	}

}
