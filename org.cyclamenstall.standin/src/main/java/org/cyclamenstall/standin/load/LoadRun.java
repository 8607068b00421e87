package org.cyclamenstall.standin.load;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Sends the requests of a plan at their times, whatever became of the earlier ones, and
 * gathers what their callers saw. Used once, by one thread.
 */
final class LoadRun {

	private static final Logger logger = LogManager.getLogger(LoadRun.class);

	private static final double NANOS_PER_SECOND = 1e9;

	private static final long START_DELAY_NANOS = 500_000_000L;

	private final Scenario scenario;

	private final List<Arrival> arrivals;

	private final LoadTarget target;

	private final Balancer balancer;

	private final RequestSender sender;

	private final Queue<RequestResult> results = new ConcurrentLinkedQueue<>();

	private final ScheduledExecutorService faultTimer = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "load-faults");
		thread.setDaemon(true);
		return thread;
	});

	private long startNanos;

	LoadRun(Scenario scenario, Deployment deployment, List<Arrival> arrivals, LoadTarget target, String run) {
		this.scenario = scenario;
		this.arrivals = arrivals;
		this.target = target;
		this.balancer = new Balancer(target.daemons(), deployment.balancerWeights());
		this.sender = new RequestSender(this.balancer, run);
	}

	/**
	 * Sends every request and waits for the answers.
	 * @return what happened
	 */
	LoadResult call() {
		this.startNanos = System.nanoTime() + START_DELAY_NANOS
				+ (long) (this.scenario.warmUpSeconds() * NANOS_PER_SECOND);
		EngineCounts before = this.target.engineCounts();
		this.scenario.faults().forEach(this::schedule);
		try {
			CompletableFuture<?>[] calls = this.arrivals.stream()
				.map(this::sendInTime)
				.toArray(CompletableFuture[]::new);
			double machineLoad = ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
			awaitAll(calls);
			EngineCounts after = this.target.engineCounts();
			return new LoadResult(allResults(), (before != null && after != null) ? after.since(before) : null,
					machineLoad);
		}
		finally {
			this.faultTimer.shutdownNow();
			this.sender.close();
		}
	}

	private CompletableFuture<Void> sendInTime(Arrival arrival) {
		long intended = this.startNanos + arrival.atNanos();
		for (long left = intended - System.nanoTime(); left > 0; left = intended - System.nanoTime()) {
			LockSupport.parkNanos(left);
		}
		return this.sender.send(arrival, intended).thenAccept(this.results::add);
	}

	private void awaitAll(CompletableFuture<?>[] calls) {
		try {
			CompletableFuture.allOf(calls).get(this.scenario.drainSeconds(), TimeUnit.SECONDS);
		}
		catch (TimeoutException ex) {
			logger.info("Requests without an end when the wait was over");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException(ex.getCause());
		}
	}

	private List<RequestResult> allResults() {
		List<RequestResult> all = new ArrayList<>(this.results);
		boolean[] ended = new boolean[this.arrivals.size()];
		all.forEach((result) -> ended[result.arrival().sequence()] = true);
		for (Arrival arrival : this.arrivals) {
			if (!ended[arrival.sequence()]) {
				long waited = System.nanoTime() - this.startNanos - arrival.atNanos();
				all.add(new RequestResult(arrival, RequestEnd.UNFINISHED, "", 0, -1, waited, new long[0]));
			}
		}
		return all;
	}

	private void schedule(Scenario.ScheduledFault fault) {
		at(fault.atSecond(), () -> this.target.begin(fault));
		if (fault.kind() == FaultKind.KILL_DAEMON) {
			int daemon = (fault.daemon() != null) ? fault.daemon() : 0;
			at(fault.atSecond() + this.scenario.balancerNoticeMillis() / 1e3, () -> this.balancer.markLost(daemon));
		}
		else if (fault.untilSecond() != null) {
			at(fault.untilSecond(), () -> this.target.end(fault));
		}
	}

	private void at(double second, Runnable task) {
		long delay = this.startNanos + (long) (second * NANOS_PER_SECOND) - System.nanoTime();
		this.faultTimer.schedule(() -> {
			try {
				task.run();
			}
			catch (RuntimeException ex) {
				logger.error("A scheduled fault failed", ex);
			}
		}, delay, TimeUnit.NANOSECONDS);
	}

	/**
	 * Holds what happened in a run. Immutable.
	 *
	 * @param requests what the callers saw, warm-up included
	 * @param engines the work of the engines, or {@code null} if they are not at hand
	 * @param machineLoad the load average of this machine at the end of sending
	 */
	record LoadResult(List<RequestResult> requests, @Nullable EngineCounts engines, double machineLoad) {

	}

}
