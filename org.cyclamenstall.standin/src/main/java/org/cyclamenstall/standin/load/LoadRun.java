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
 * Sends the requests of a plan at their intended times, regardless of the progress of
 * earlier requests (open loop), and collects the results. Used once, by one thread.
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

	private long measurementStartNanos;

	LoadRun(Scenario scenario, Deployment deployment, List<Arrival> arrivals, LoadTarget target, String keyPrefix) {
		this.scenario = scenario;
		this.arrivals = arrivals;
		this.target = target;
		this.balancer = new Balancer(target.daemons(), deployment.balancerWeights());
		this.sender = new RequestSender(this.balancer, keyPrefix);
	}

	/**
	 * Sends every request and waits for the responses, at most for the drain time of the
	 * scenario.
	 * @return the results of all requests
	 */
	LoadResult execute() {
		this.measurementStartNanos = System.nanoTime() + START_DELAY_NANOS
				+ (long) (this.scenario.warmUpSeconds() * NANOS_PER_SECOND);
		EngineCounts countsBefore = this.target.engineCounts();
		this.scenario.faults().forEach(this::schedule);
		try {
			CompletableFuture<?>[] calls = this.arrivals.stream()
				.map(this::sendAtIntendedTime)
				.toArray(CompletableFuture[]::new);
			double machineLoad = ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
			awaitAll(calls);
			EngineCounts countsAfter = this.target.engineCounts();
			return new LoadResult(collectResults(),
					(countsBefore != null && countsAfter != null) ? countsAfter.since(countsBefore) : null,
					machineLoad);
		}
		finally {
			this.faultTimer.shutdownNow();
			this.sender.close();
		}
	}

	private CompletableFuture<Void> sendAtIntendedTime(Arrival arrival) {
		long intendedNanos = this.measurementStartNanos + arrival.atNanos();
		for (long delay = intendedNanos - System.nanoTime(); delay > 0; delay = intendedNanos - System.nanoTime()) {
			LockSupport.parkNanos(delay);
		}
		return this.sender.send(arrival, intendedNanos).thenAccept(this.results::add);
	}

	private void awaitAll(CompletableFuture<?>[] calls) {
		try {
			CompletableFuture.allOf(calls).get(this.scenario.drainSeconds(), TimeUnit.SECONDS);
		}
		catch (TimeoutException ex) {
			logger.info("Some requests did not complete within the drain time");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException(ex.getCause());
		}
	}

	private List<RequestResult> collectResults() {
		List<RequestResult> all = new ArrayList<>(this.results);
		boolean[] completed = new boolean[this.arrivals.size()];
		all.forEach((result) -> completed[result.arrival().sequence()] = true);
		for (Arrival arrival : this.arrivals) {
			if (!completed[arrival.sequence()]) {
				long waitedNanos = System.nanoTime() - this.measurementStartNanos - arrival.atNanos();
				all.add(new RequestResult(arrival, RequestOutcome.UNFINISHED, "", 0, -1, waitedNanos, new long[0]));
			}
		}
		return all;
	}

	private void schedule(Scenario.ScheduledFault fault) {
		scheduleAt(fault.atSecond(), () -> this.target.startFault(fault));
		if (fault.kind() == FaultKind.KILL_DAEMON) {
			int daemon = (fault.daemon() != null) ? fault.daemon() : 0;
			scheduleAt(fault.atSecond() + this.scenario.balancerNoticeMillis() / 1e3,
					() -> this.balancer.markUnavailable(daemon));
		}
		else if (fault.untilSecond() != null) {
			scheduleAt(fault.untilSecond(), () -> this.target.endFault(fault));
		}
	}

	private void scheduleAt(double second, Runnable task) {
		long delayNanos = this.measurementStartNanos + (long) (second * NANOS_PER_SECOND) - System.nanoTime();
		this.faultTimer.schedule(() -> {
			try {
				task.run();
			}
			catch (RuntimeException ex) {
				logger.error("A scheduled fault could not be started or ended", ex);
			}
		}, delayNanos, TimeUnit.NANOSECONDS);
	}

	/**
	 * The results of a run. Immutable.
	 *
	 * @param requests the results of all requests, including those of the warm-up
	 * @param engines the counts of the engines during the run, or {@code null} if they
	 * are not available
	 * @param machineLoad the load average of this machine when the last request was sent
	 */
	record LoadResult(List<RequestResult> requests, @Nullable EngineCounts engines, double machineLoad) {

	}

}
