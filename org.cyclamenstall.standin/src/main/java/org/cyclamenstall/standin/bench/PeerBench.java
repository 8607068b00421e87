package org.cyclamenstall.standin.bench;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.apache.commons.rng.simple.RandomSource;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;
import org.cyclamenstall.internal.peers.AllPeers;
import org.cyclamenstall.internal.peers.PeerSelection;
import org.cyclamenstall.internal.peers.RandomFanout;
import org.cyclamenstall.kernel.Closer;
import org.cyclamenstall.settings.PeerAddress;

/**
 * Measures the cost of the peer exchange per daemon, with 2 to 40 daemons in one process
 * that communicate over loopback sockets, and the time until a catalogue change is active
 * on all of them. Then simulates the propagation of a change among up to 400 daemons with
 * the peer selection alone. The reported bytes are those of the messages that one daemon
 * sends and receives, without TCP and IP headers.
 */
public final class PeerBench {

	private static final int[] DAEMON_COUNTS = { 2, 5, 10, 20, 40 };

	private static final int[] SIMULATED_DAEMON_COUNTS = { 40, 100, 200, 400 };

	private static final int FANOUT = 4;

	private static final int EXCHANGE_INTERVAL_MILLIS = 1_000;

	private static final int REPORT_ENTRIES = 20;

	private static final int SETTLE_SECONDS = 4;

	private static final int MEASURE_SECONDS = 10;

	private static final int CHANGES = 10;

	private static final int WARM_UP_DAEMONS = 10;

	private static final int WARM_UP_EXCHANGE_INTERVAL_MILLIS = 50;

	private static final int WARM_UP_SECONDS = 10;

	private static final long CHANGE_INTERVAL_MILLIS = 300;

	private static final int SIMULATION_SEEDS = 20;

	private final PrintStream output;

	private PeerBench(PrintStream output) {
		this.output = output;
	}

	/**
	 * Runs the benchmark and prints its tables.
	 * @param arguments {@code sockets} or {@code spread} to run only one part; empty to
	 * run both
	 * @throws InterruptedException if the process is interrupted
	 */
	public static void main(String[] arguments) throws InterruptedException {
		Configurator.setRootLevel(Level.WARN);
		PeerBench bench = new PeerBench(System.out);
		String part = (arguments.length > 0) ? arguments[0] : "";
		if (!part.equals("spread")) {
			bench.measureSockets();
		}
		if (!part.equals("sockets")) {
			bench.simulatePropagation();
		}
	}

	private void measureSockets() throws InterruptedException {
		warmUp();
		this.output.println("selection daemons exchanges/s bytes/s/daemon bytes/exchange cpu-%-of-core/daemon"
				+ " heap-KB/daemon threads/daemon in-force-ms-median in-force-ms-worst");
		for (int daemons : DAEMON_COUNTS) {
			measure("all", daemons);
		}
		for (int daemons : DAEMON_COUNTS) {
			measure("fanout-" + FANOUT, daemons);
		}
	}

	private void warmUp() throws InterruptedException {
		try (Closer closer = new Closer()) {
			List<PeerBenchDaemon> daemons = start("all", WARM_UP_DAEMONS, WARM_UP_EXCHANGE_INTERVAL_MILLIS, closer);
			TimeUnit.SECONDS.sleep(WARM_UP_SECONDS);
			measureChanges(daemons);
		}
	}

	private void measure(String selection, int count) throws InterruptedException {
		long heapBefore = usedHeapBytesAfterGc();
		int threadsBefore = ManagementFactory.getThreadMXBean().getThreadCount();
		try (Closer closer = new Closer()) {
			List<PeerBenchDaemon> daemons = start(selection, count, EXCHANGE_INTERVAL_MILLIS, closer);
			TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
			double bytes = -sumBytes(daemons);
			double exchanges = -sumExchanges(daemons);
			long cpuNanos = -processCpuNanos();
			TimeUnit.SECONDS.sleep(MEASURE_SECONDS);
			cpuNanos += processCpuNanos();
			bytes += sumBytes(daemons);
			exchanges += sumExchanges(daemons);
			int threads = ManagementFactory.getThreadMXBean().getThreadCount() - threadsBefore;
			long heapBytes = usedHeapBytesAfterGc() - heapBefore;
			List<Double> millis = measureChanges(daemons);
			double cpuPercent = 100.0 * cpuNanos / TimeUnit.SECONDS.toNanos(MEASURE_SECONDS) / count;
			// Only the daemon that starts an exchange counts its bytes, but both daemons
			// send and receive them.
			this.output.printf(Locale.ROOT, "%s %d %.2f %.0f %.0f %.3f %.0f %.1f %.1f %.1f%n", selection, count,
					exchanges / count / MEASURE_SECONDS, 2 * bytes / count / MEASURE_SECONDS, bytes / exchanges,
					cpuPercent, heapBytes / 1_024.0 / count, (double) threads / count, millis.get(CHANGES / 2),
					millis.get(CHANGES - 1));
			requireFullMembership(daemons);
		}
	}

	private List<PeerBenchDaemon> start(String selection, int count, int exchangeMillis, Closer closer) {
		List<PeerBenchDaemon> daemons = new ArrayList<>();
		List<PeerAddress> seeds = new ArrayList<>();
		for (int number = 0; number < count; number++) {
			PeerSelection peerSelection = selection.equals("all") ? new AllPeers()
					: new RandomFanout(FANOUT, RandomSource.XO_RO_SHI_RO_128_PP.create(number));
			PeerBenchDaemon daemon = new PeerBenchDaemon(number, List.copyOf(seeds), peerSelection, exchangeMillis,
					REPORT_ENTRIES);
			daemons.add(closer.register(daemon).start());
			daemon.catalogue().offer(List.of(PeerBenchDaemon.record("chat", 1)), "store");
			seeds.add(daemon.seed());
		}
		return daemons;
	}

	private List<Double> measureChanges(List<PeerBenchDaemon> daemons) throws InterruptedException {
		List<Double> millis = new ArrayList<>();
		for (long revision = 2; revision < 2 + CHANGES; revision++) {
			millis.add(measureChange(daemons, revision));
			TimeUnit.MILLISECONDS.sleep(CHANGE_INTERVAL_MILLIS);
		}
		millis.sort(null);
		return millis;
	}

	private static double measureChange(List<PeerBenchDaemon> daemons, long revision) throws InterruptedException {
		CountDownLatch pendingDaemons = new CountDownLatch(daemons.size());
		for (PeerBenchDaemon daemon : daemons) {
			daemon.catalogue().addListener((catalogue) -> {
				if (catalogue.revision() == revision) {
					pendingDaemons.countDown();
				}
			});
		}
		long startNanos = System.nanoTime();
		daemons.get(0).catalogue().offer(List.of(PeerBenchDaemon.record("chat", revision)), "store");
		pendingDaemons.await();
		return (System.nanoTime() - startNanos) / 1e6;
	}

	private static void requireFullMembership(List<PeerBenchDaemon> daemons) {
		for (PeerBenchDaemon daemon : daemons) {
			if (daemon.memberCount() != daemons.size()) {
				throw new IllegalStateException(
						"Incomplete membership: a daemon knows only " + daemon.memberCount() + " members");
			}
		}
	}

	private void simulatePropagation() {
		this.output.println("spread selection daemons unreachable-% seeds messages/daemon/change"
				+ " all-in-force-ms-median all-in-force-ms-worst rounds-worst");
		for (int daemons : SIMULATED_DAEMON_COUNTS) {
			for (int unreachablePercent : new int[] { 0, 17 }) {
				simulatePropagation("all", daemons, unreachablePercent, 0);
				for (int fanout : new int[] { 2, 3, FANOUT, 6 }) {
					simulatePropagation("fanout-" + fanout, daemons, unreachablePercent, fanout);
				}
			}
		}
	}

	private void simulatePropagation(String selection, int daemons, int unreachablePercent, int fanout) {
		List<Double> millis = new ArrayList<>();
		double messages = 0;
		for (int seed = 1; seed <= SIMULATION_SEEDS; seed++) {
			PropagationSimulation simulation = new PropagationSimulation(daemons, unreachablePercent, fanout,
					EXCHANGE_INTERVAL_MILLIS, seed);
			millis.add(simulation.runUntilAllInformed());
			messages += simulation.messagesPerDaemon() / SIMULATION_SEEDS;
		}
		millis.sort(null);
		this.output.printf(Locale.ROOT, "spread %s %d %d %d %.1f %.0f %.0f %.1f%n", selection, daemons,
				unreachablePercent, SIMULATION_SEEDS, messages, millis.get(SIMULATION_SEEDS / 2),
				millis.get(SIMULATION_SEEDS - 1), millis.get(SIMULATION_SEEDS - 1) / EXCHANGE_INTERVAL_MILLIS);
	}

	private static double sumBytes(List<PeerBenchDaemon> daemons) {
		return daemons.stream().mapToDouble(PeerBenchDaemon::exchangedBytes).sum();
	}

	private static double sumExchanges(List<PeerBenchDaemon> daemons) {
		return daemons.stream().mapToDouble(PeerBenchDaemon::startedExchanges).sum();
	}

	private static long processCpuNanos() {
		return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
			.getProcessCpuTime();
	}

	private static long usedHeapBytesAfterGc() {
		System.gc();
		return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
	}

}
