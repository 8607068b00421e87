package org.cyclamenstall.junit;

import java.time.Duration;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.hosts.ListedHost;
import org.cyclamenstall.policy.AttemptResult;
import org.cyclamenstall.policy.Grant;
import org.cyclamenstall.policy.GrantListener;
import org.cyclamenstall.policy.Refusal;
import org.cyclamenstall.policy.RequestAttributes;
import org.cyclamenstall.policy.RetryDecision;
import org.cyclamenstall.policy.RetryReason;
import org.cyclamenstall.policy.Ticket;
import org.cyclamenstall.policy.TrafficController;

/**
 * Implements a traffic controller that grants every attempt immediately, each on the next
 * of a fixed list of upstreams, and records retries and attempt results. Thread-safe.
 */
public final class ImmediateGrantController implements TrafficController {

	private final Iterator<ListedHost> upstreams;

	private final List<AttemptResult> attemptResults = new CopyOnWriteArrayList<>();

	private final List<RetryReason> retryReasons = new CopyOnWriteArrayList<>();

	private final List<GrantListener> listeners = new CopyOnWriteArrayList<>();

	private final AtomicInteger unfinishedRequests = new AtomicInteger();

	/**
	 * Creates a controller.
	 * @param upstreams the upstreams of successive attempts; further attempts are refused
	 */
	public ImmediateGrantController(List<ListedHost> upstreams) {
		this.upstreams = List.copyOf(upstreams).iterator();
	}

	/**
	 * Returns the results of the grants released so far.
	 * @return the results, in the order of release
	 */
	public List<AttemptResult> attemptResults() {
		return this.attemptResults;
	}

	/**
	 * Returns the reasons of the retries requested so far.
	 * @return the reasons, in order
	 */
	public List<RetryReason> retryReasons() {
		return this.retryReasons;
	}

	/**
	 * Returns the listeners of all granted attempts. A test may call
	 * {@link GrantListener#onPreempt()} on them.
	 * @return the listeners, in the order of the grants
	 */
	public List<GrantListener> listeners() {
		return this.listeners;
	}

	@Override
	public Ticket submit(RequestAttributes attributes, GrantListener listener) {
		this.unfinishedRequests.incrementAndGet();
		RecordingTicket ticket = new RecordingTicket();
		ticket.grant(listener);
		return ticket;
	}

	@Override
	public void drain() {
	}

	@Override
	public int unfinishedRequests() {
		return this.unfinishedRequests.get();
	}

	private final class RecordingTicket implements Ticket {

		private int attempts;

		void grant(GrantListener listener) {
			if (ImmediateGrantController.this.upstreams.hasNext()) {
				ImmediateGrantController.this.listeners.add(listener);
				listener.onGranted(new RecordingGrant(ImmediateGrantController.this.upstreams.next(), ++this.attempts));
			}
			else {
				listener
					.onRefused(new Refusal(ErrorKind.NO_LIVE_UPSTREAM, "no upstreams left in the list of the test"));
			}
		}

		@Override
		public boolean withdraw() {
			return false;
		}

		@Override
		public RetryDecision retry(RetryReason reason, GrantListener listener) {
			ImmediateGrantController.this.retryReasons.add(reason);
			grant(listener);
			return RetryDecision.GRANTED;
		}

		@Override
		public RetryDecision replace(Grant running, RetryReason reason, GrantListener listener) {
			return RetryDecision.NO_UPSTREAM;
		}

		@Override
		public Optional<Duration> hedgeDelay() {
			return Optional.empty();
		}

		@Override
		public RetryDecision hedge(GrantListener listener) {
			return RetryDecision.NO_UPSTREAM;
		}

		@Override
		public void finish(long generatedTokens) {
			ImmediateGrantController.this.unfinishedRequests.decrementAndGet();
		}

	}

	private final class RecordingGrant implements Grant {

		private final ListedHost upstream;

		private final int attempt;

		RecordingGrant(ListedHost upstream, int attempt) {
			this.upstream = upstream;
			this.attempt = attempt;
		}

		@Override
		public ListedHost upstream() {
			return this.upstream;
		}

		@Override
		public int attempt() {
			return this.attempt;
		}

		@Override
		public void recordFirstToken() {
		}

		@Override
		public void recordTokens(int count) {
		}

		@Override
		public void recordLoad(int running, int slots, long ageMillis) {
		}

		@Override
		public void markUpstreamDraining() {
		}

		@Override
		public void release(AttemptResult result) {
			ImmediateGrantController.this.attemptResults.add(result);
		}

	}

}
