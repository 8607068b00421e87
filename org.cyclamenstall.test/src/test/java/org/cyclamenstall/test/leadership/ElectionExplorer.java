package org.cyclamenstall.test.leadership;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenstall.internal.leadership.ElectionAction;
import org.cyclamenstall.internal.leadership.LeaderElection;
import org.cyclamenstall.store.ConditionalWriteResult;
import org.cyclamenstall.store.StoreLease;
import org.cyclamenstall.store.StoreRecord;
import org.jspecify.annotations.Nullable;

/**
 * Runs several candidates against one store on simulated time, with one seed: calls and
 * responses that are delayed, lost or late, candidates that pause, die and resign, and
 * outages of the store that pause the leases or let them run on, and, if the store has
 * generations, restores of it from copies of any age. Checks at each step that at most
 * one candidate may act, that no two share a token, and that tokens increase. Not
 * thread-safe.
 */
final class ElectionExplorer {

	private static final int CANDIDATES = 4;

	private static final Duration LEASE = Duration.ofSeconds(3);

	private static final long CALL_TIMEOUT_NANOS = Duration.ofMillis(750).toNanos();

	/** Time of disturbances, and of the calm after it. */
	private static final long DISTURBED_NANOS = Duration.ofSeconds(40).toNanos();

	private static final long CALM_NANOS = Duration.ofSeconds(15).toNanos();

	private static final double LOST_SHARE = 0.1;

	private static final double LATE_SHARE = 0.05;

	private final PriorityQueue<Step> steps = new PriorityQueue<>();

	private final List<String> violations = new ArrayList<>();

	private final Map<Long, Candidate> tokenOwners = new HashMap<>();

	private final UniformRandomProvider random;

	private final ExploredStore store;

	private final List<Candidate> candidates = new ArrayList<>();

	private long nowNanos;

	private long stepCount;

	private long highestToken;

	private boolean storeDown;

	private final boolean restores;

	private final List<ExploredStore.Copy> copies = new ArrayList<>();

	private int restoreCount;

	private int nameCount;

	ElectionExplorer(long seed, Duration earlyLeaseEnd) {
		this(seed, new ExploredStore(LEASE, earlyLeaseEnd, false), false);
	}

	private ElectionExplorer(long seed, ExploredStore store, boolean restores) {
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		this.store = store;
		this.restores = restores;
		for (int index = 0; index < CANDIDATES; index++) {
			this.candidates.add(new Candidate(millis(300)));
		}
	}

	/**
	 * Creates an explorer of a store that is restored from older copies.
	 * @param seed the seed
	 * @param versionsWithoutGeneration whether to plant the fault that versions do not
	 * contain the generation
	 * @return the explorer
	 */
	static ElectionExplorer withRestores(long seed, boolean versionsWithoutGeneration) {
		ExploredStore store = new ExploredStore(LEASE, Duration.ZERO, versionsWithoutGeneration);
		store.restore(store.copy());
		return new ElectionExplorer(seed, store, true);
	}

	/**
	 * Runs the disturbances and the calm after them.
	 * @return what was violated, empty if nothing
	 */
	List<String> run() {
		at(millis(500), this::disturb);
		at(millis(20), this::expire);
		if (this.restores) {
			at(millis(2_000), this::copyStore);
			at(millis(8_000), this::restoreStore);
		}
		while (this.nowNanos < DISTURBED_NANOS + CALM_NANOS && !this.steps.isEmpty()) {
			Step step = this.steps.remove();
			this.nowNanos = step.atNanos();
			step.action().run();
			check();
		}
		long leaders = this.candidates.stream().filter(Candidate::mayAct).count();
		if (leaders != 1) {
			this.violations.add(leaders + " leaders at the end of the calm");
		}
		return this.violations;
	}

	/**
	 * Returns how many leaderships there were.
	 * @return the number of tokens that were used
	 */
	int leaderCount() {
		return this.tokenOwners.size();
	}

	/**
	 * Returns how often the store was restored.
	 */
	int restoreCount() {
		return this.restoreCount;
	}

	private void copyStore() {
		this.copies.add(this.store.copy());
		at(millis(2_000), this::copyStore);
	}

	// The next restore may follow at once, in a takeover or while an answer is late.
	private void restoreStore() {
		if (isCalm() || this.copies.isEmpty()) {
			return;
		}
		this.restoreCount++;
		int age = Math.min(this.copies.size() - 1, this.random.nextInt(6));
		this.store.restore(this.copies.get(this.copies.size() - 1 - age));
		publish();
		at(millis(this.random.nextBoolean() ? 1_000 : 12_000), this::restoreStore);
	}

	private long millis(long maximum) {
		return Duration.ofMillis(1 + this.random.nextLong(maximum)).toNanos();
	}

	private void at(long delayNanos, Runnable action) {
		this.stepCount++;
		this.steps.add(new Step(this.nowNanos + delayNanos, this.stepCount, action));
	}

	private boolean isCalm() {
		return this.nowNanos >= DISTURBED_NANOS;
	}

	private boolean happens(double share) {
		return !isCalm() && this.random.nextDouble() < share;
	}

	private void disturb() {
		if (isCalm()) {
			return;
		}
		Candidate candidate = this.candidates.get(this.random.nextInt(CANDIDATES));
		switch (this.random.nextInt(6)) {
			case 0 -> candidate.pauseUntil(this.nowNanos + millis(6_000));
			case 1 -> {
				candidate.dead = true;
				replace(candidate);
			}
			case 2 -> {
				candidate.election.resign(this.nowNanos);
				replace(candidate);
			}
			case 3 -> stopStore();
			case 4 -> candidate.election.setStandbyPosition(this.random.nextInt(4) - 1);
			default -> candidate.election.onTokenRefused(candidate.election.token(), this.nowNanos);
		}
		at(millis(3_000), this::disturb);
	}

	private void replace(Candidate candidate) {
		this.candidates.set(this.candidates.indexOf(candidate), new Candidate(millis(2_000)));
	}

	private void stopStore() {
		if (this.storeDown) {
			return;
		}
		this.storeDown = true;
		boolean leasesPause = this.random.nextBoolean();
		if (leasesPause) {
			this.store.pauseLeases(this.nowNanos);
		}
		at(millis(6_000), () -> {
			this.storeDown = false;
			if (leasesPause) {
				this.store.resumeLeases(this.nowNanos);
			}
		});
	}

	private void expire() {
		if (this.store.expire(this.nowNanos)) {
			publish();
		}
		at(Duration.ofMillis(10).toNanos(), this::expire);
	}

	// Tells the candidates of the record, each after a time of its own.
	private void publish() {
		StoreRecord record = this.store.record();
		long version = this.store.version();
		long generation = this.store.generation();
		for (Candidate candidate : this.candidates) {
			at(millis(300), () -> candidate.whenAwake(() -> {
				if (candidate.accepts(generation)) {
					candidate.election.onRecord(record, version, this.nowNanos);
				}
				candidate.proceed();
			}));
		}
	}

	private void check() {
		int acting = 0;
		for (Candidate candidate : this.candidates) {
			if (candidate.mayAct()) {
				acting++;
				checkToken(candidate);
			}
		}
		if (acting > 1) {
			this.violations.add(acting + " candidates may act at " + this.nowNanos);
		}
	}

	private void checkToken(Candidate candidate) {
		long token = candidate.election.token();
		Candidate owner = this.tokenOwners.putIfAbsent(token, candidate);
		if (owner != null && owner != candidate) {
			this.violations.add("two candidates have token " + token);
		}
		if (token < this.highestToken) {
			this.violations.add("token " + token + " is used after " + this.highestToken);
		}
		this.highestToken = Math.max(this.highestToken, token);
	}

	private Object execute(ElectionAction action, String name) {
		if (action instanceof ElectionAction.ObtainLease) {
			return this.store.obtainLease(this.nowNanos);
		}
		if (action instanceof ElectionAction.RenewLease renewal) {
			return this.store.renewLease(renewal.leaseId(), this.nowNanos);
		}
		if (action instanceof ElectionAction.EndLease end) {
			if (this.store.endLease(end.leaseId())) {
				publish();
			}
			return true;
		}
		long lease = ((ElectionAction.WriteRecord) action).leaseId();
		ConditionalWriteResult result = this.store.write((name + ":" + lease).getBytes(StandardCharsets.UTF_8), lease);
		if (result instanceof ConditionalWriteResult.Applied) {
			publish();
		}
		return result;
	}

	private record Step(long atNanos, long number, Runnable action) implements Comparable<Step> {

		@Override
		public int compareTo(Step other) {
			int byTime = Long.compare(this.atNanos, other.atNanos);
			return (byTime != 0) ? byTime : Long.compare(this.number, other.number);
		}

	}

	/**
	 * Candidate with at most one call to the store in flight.
	 */
	private final class Candidate {

		private final String name;

		private final LeaderElection election;

		private boolean dead;

		private boolean callInFlight;

		private long pauseUntilNanos;

		private long generation;

		Candidate(long startDelayNanos) {
			ElectionExplorer.this.nameCount++;
			this.name = "candidate-" + ElectionExplorer.this.nameCount;
			this.election = new LeaderElection(this::isOwnRecord, LEASE,
					RandomSource.XO_RO_SHI_RO_128_PP.create(ElectionExplorer.this.random.nextLong()),
					ElectionExplorer.this.nowNanos);
			at(startDelayNanos, () -> {
				accepts(ElectionExplorer.this.store.generation());
				this.election.onRecord(ElectionExplorer.this.store.record(), ElectionExplorer.this.store.version(),
						ElectionExplorer.this.nowNanos);
				proceed();
			});
		}

		// Decides like the client of the store whether a response counts.
		boolean accepts(long responseGeneration) {
			if (responseGeneration < this.generation) {
				return false;
			}
			if (responseGeneration > this.generation) {
				this.generation = responseGeneration;
				this.election.onStoreRestored(responseGeneration, ElectionExplorer.this.nowNanos);
			}
			return true;
		}

		private boolean isOwnRecord(StoreRecord record) {
			return new String(record.value(), StandardCharsets.UTF_8).equals(this.name + ":" + this.election.leaseId());
		}

		boolean mayAct() {
			return !this.dead && this.election.tokenUntil(ElectionExplorer.this.nowNanos).isPresent();
		}

		void pauseUntil(long nanos) {
			this.pauseUntilNanos = nanos;
		}

		void whenAwake(Runnable action) {
			if (this.dead) {
				return;
			}
			if (ElectionExplorer.this.nowNanos < this.pauseUntilNanos) {
				at(this.pauseUntilNanos - ElectionExplorer.this.nowNanos, () -> whenAwake(action));
				return;
			}
			action.run();
		}

		void proceed() {
			if (this.callInFlight || this.dead) {
				return;
			}
			ElectionAction action = this.election.next(ElectionExplorer.this.nowNanos);
			if (action instanceof ElectionAction.Await await) {
				at(Math.max(1, await.nanos()), () -> whenAwake(this::proceed));
				return;
			}
			call(action);
		}

		private void call(ElectionAction action) {
			this.callInFlight = true;
			long sentAtNanos = ElectionExplorer.this.nowNanos;
			Call call = new Call(action, sentAtNanos, this.generation);
			at(CALL_TIMEOUT_NANOS, () -> whenAwake(() -> finish(call, null)));
			if (!happens(LOST_SHARE)) {
				at(happens(LATE_SHARE) ? millis(6_000) : millis(60), () -> execute(call));
			}
		}

		private void execute(Call call) {
			if (ElectionExplorer.this.storeDown) {
				return;
			}
			Object response = ElectionExplorer.this.execute(call.action, this.name);
			long responseGeneration = ElectionExplorer.this.store.generation();
			if (!happens(LOST_SHARE)) {
				at(millis(60), () -> whenAwake(() -> {
					if (accepts(responseGeneration)) {
						finish(call, isOfEarlierGeneration(call) ? ended(call.action) : response);
					}
				}));
			}
		}

		// The client of the store takes a lease of an earlier generation for one that has
		// ended.
		private boolean isOfEarlierGeneration(Call call) {
			return call.generation < this.generation && !(call.action instanceof ElectionAction.ObtainLease);
		}

		private static Object ended(ElectionAction action) {
			return (action instanceof ElectionAction.RenewLease) ? false : new ConditionalWriteResult.LeaseEnded();
		}

		private void finish(Call call, @Nullable Object response) {
			if (call.finished) {
				return;
			}
			call.finished = true;
			this.callInFlight = false;
			long now = ElectionExplorer.this.nowNanos;
			if (call.action instanceof ElectionAction.ObtainLease) {
				if (response instanceof Long lease) {
					this.election.onLeaseObtained(new StoreLease(lease, LEASE), call.sentAtNanos);
				}
				else {
					this.election.onLeaseNotObtained(now);
				}
			}
			else if (call.action instanceof ElectionAction.WriteRecord) {
				this.election.onRecordWritten((response instanceof ConditionalWriteResult result) ? result
						: new ConditionalWriteResult.Unknown("no response"), now);
			}
			else if (call.action instanceof ElectionAction.RenewLease) {
				if (!(response instanceof Boolean renewed)) {
					this.election.onLeaseNotRenewed(now);
				}
				else if (renewed) {
					this.election.onLeaseRenewed(call.sentAtNanos);
				}
				else {
					this.election.onLeaseEnded(now);
				}
			}
			else {
				this.election.onUnusedLeaseEnded();
			}
			proceed();
		}

	}

	private static final class Call {

		private final ElectionAction action;

		private final long sentAtNanos;

		private final long generation;

		private boolean finished;

		Call(ElectionAction action, long sentAtNanos, long generation) {
			this.action = action;
			this.sentAtNanos = sentAtNanos;
			this.generation = generation;
		}

	}

}
