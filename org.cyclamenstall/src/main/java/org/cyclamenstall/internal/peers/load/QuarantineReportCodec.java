package org.cyclamenstall.internal.peers.load;

import java.time.Duration;
import java.util.List;
import java.util.Set;

import org.cyclamenstall.internal.policy.quarantine.CrashReport;
import org.cyclamenstall.internal.policy.quarantine.PartSuccess;
import org.cyclamenstall.internal.policy.quarantine.QuarantineReport;
import org.cyclamenstall.internal.policy.quarantine.QuarantineVerdict;

/**
 * Converts quarantine reports to their wire messages and back. Ages and durations that
 * are negative or longer than {@link #MAXIMUM_MILLIS} are limited. Stateless and
 * thread-safe.
 */
final class QuarantineReportCodec {

	/** Maximum age or duration. */
	private static final long MAXIMUM_MILLIS = Duration.ofHours(1).toMillis();

	private static final int MAXIMUM_REPETITIONS = 16;

	private QuarantineReportCodec() {
	}

	static org.cyclamenstall.wire.QuarantineReport toWire(QuarantineReport report) {
		org.cyclamenstall.wire.QuarantineReport message = new org.cyclamenstall.wire.QuarantineReport();
		message.setCrashes(report.crashes().stream().map(QuarantineReportCodec::toWire).toList());
		message.setSuccesses(report.successes()
			.stream()
			.map((success) -> new org.cyclamenstall.wire.PartSuccess(success.part(), success.ageMillis()))
			.toList());
		message.setVerdicts(report.verdicts().stream().map(QuarantineReportCodec::toWire).toList());
		return message;
	}

	private static org.cyclamenstall.wire.CrashReport toWire(CrashReport crash) {
		return new org.cyclamenstall.wire.CrashReport(crash.crash(), crash.ageMillis(), List.copyOf(crash.parts()));
	}

	private static org.cyclamenstall.wire.QuarantineVerdict toWire(QuarantineVerdict verdict) {
		org.cyclamenstall.wire.QuarantineVerdict message = new org.cyclamenstall.wire.QuarantineVerdict(verdict.part(),
				verdict.ageMillis(), verdict.durationMillis());
		message.setRepetitions(verdict.repetitions());
		return message;
	}

	static QuarantineReport fromWire(org.cyclamenstall.wire.QuarantineReport message) {
		return new QuarantineReport(
				message.isSetCrashes() ? message.getCrashes().stream().map(QuarantineReportCodec::fromWire).toList()
						: List.of(),
				message.isSetSuccesses() ? message.getSuccesses().stream().map(QuarantineReportCodec::fromWire).toList()
						: List.of(),
				message.isSetVerdicts() ? message.getVerdicts().stream().map(QuarantineReportCodec::fromWire).toList()
						: List.of());
	}

	private static CrashReport fromWire(org.cyclamenstall.wire.CrashReport crash) {
		return new CrashReport(crash.getCrash(), limit(crash.getAgeMillis()), Set.copyOf(crash.getParts()));
	}

	private static PartSuccess fromWire(org.cyclamenstall.wire.PartSuccess success) {
		return new PartSuccess(success.getPart(), limit(success.getAgeMillis()));
	}

	private static QuarantineVerdict fromWire(org.cyclamenstall.wire.QuarantineVerdict verdict) {
		return new QuarantineVerdict(verdict.getPart(), limit(verdict.getAgeMillis()),
				limit(verdict.getDurationMillis()),
				Math.max(0, Math.min(MAXIMUM_REPETITIONS, verdict.getRepetitions())));
	}

	private static long limit(long millis) {
		return Math.max(0, Math.min(MAXIMUM_MILLIS, millis));
	}

}
