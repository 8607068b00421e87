package org.cyclamenstall.internal.operators;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.peers.Member;
import org.cyclamenstall.peers.MemberState;
import org.cyclamenstall.peers.Membership;

/**
 * Tells on which live hosts a revision is in force, from the revisions that they report.
 * A host takes edits in order of revision, so that one that reports a revision holds all
 * edits up to it. Thread-safe; blocks.
 */
final class InForceReport {

	private static final long POLL_MILLIS = 20;

	private final Membership membership;

	private final MonotonicClock clock;

	InForceReport(Membership membership, MonotonicClock clock) {
		this.membership = membership;
		this.clock = clock;
	}

	OperatorAnswers.InForce await(long revision, Duration wait) {
		long startedAt = this.clock.nanoTime();
		OperatorAnswers.InForce report = report(revision);
		while (!report.pending().isEmpty() && this.clock.nanoTime() - startedAt < wait.toNanos()) {
			try {
				TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return report;
			}
			report = report(revision);
		}
		return report;
	}

	private OperatorAnswers.InForce report(long revision) {
		List<Member> live = this.membership.members()
			.stream()
			.filter((member) -> member.state() == MemberState.ALIVE)
			.toList();
		return new OperatorAnswers.InForce(revision,
				live.stream().filter((member) -> member.catalogueRevision() >= revision).map(Member::host).toList(),
				live.stream().filter((member) -> member.catalogueRevision() < revision).map(Member::host).toList());
	}

}
