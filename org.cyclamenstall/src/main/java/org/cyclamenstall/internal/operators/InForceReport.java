package org.cyclamenstall.internal.operators;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.peers.Member;
import org.cyclamenstall.peers.MemberState;
import org.cyclamenstall.peers.Membership;

/**
 * Reports on which live hosts a catalogue revision is active, based on the revisions that
 * the hosts report. Hosts apply edits in the order of their revisions, so a host that
 * reports a revision has applied all edits up to it. Thread-safe; blocking.
 */
final class InForceReport {

	private static final long POLL_INTERVAL_MILLIS = 20;

	private final Membership membership;

	private final MonotonicClock clock;

	InForceReport(Membership membership, MonotonicClock clock) {
		this.membership = membership;
		this.clock = clock;
	}

	/**
	 * Waits until a revision is active on all live hosts or the maximum wait has elapsed.
	 * @param revision the revision
	 * @param maximumWait the maximum time to wait; zero to report the current state
	 * @return the last state of the hosts
	 */
	OperatorResponses.InForce awaitActiveEverywhere(long revision, Duration maximumWait) {
		long startedAtNanos = this.clock.nanoTime();
		OperatorResponses.InForce report = report(revision);
		while (!report.pending().isEmpty() && this.clock.nanoTime() - startedAtNanos < maximumWait.toNanos()) {
			try {
				TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return report;
			}
			report = report(revision);
		}
		return report;
	}

	private OperatorResponses.InForce report(long revision) {
		List<Member> live = this.membership.members()
			.stream()
			.filter((member) -> member.state() == MemberState.ALIVE)
			.toList();
		return new OperatorResponses.InForce(revision,
				live.stream().filter((member) -> member.catalogueRevision() >= revision).map(Member::host).toList(),
				live.stream().filter((member) -> member.catalogueRevision() < revision).map(Member::host).toList());
	}

}
