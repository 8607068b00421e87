import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One small deployment on loopback addresses: a store, workers and daemon processes. */
final class Rig implements AutoCloseable {

	final Record record;

	final Store store;

	final Path directory;

	final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	private final List<Daemon> daemons = new ArrayList<>();

	private final List<Worker> workers = new ArrayList<>();

	// A network of its own within 127.0.0.0/8, so that fixed ports are free.
	private final String network = "127." + (20 + ThreadLocalRandom.current().nextInt(200)) + "."
			+ ThreadLocalRandom.current().nextInt(1, 250);

	private int nextHost = 10;

	Rig(Path recordFile) throws IOException {
		this.record = new Record(recordFile);
		this.directory = Files.createTempDirectory("review");
		this.store = new Store(nextAddress(), this.record);
		Runtime.getRuntime().addShutdownHook(new Thread(() -> this.daemons.forEach(Daemon::kill)));
		this.record.line("trouble " + (this.trouble ? "on" : "off"));
	}

	String nextAddress() {
		return this.network + "." + this.nextHost++;
	}

	Worker worker(String service, String id, int slots) throws IOException {
		Worker worker = new Worker(nextAddress(), service, id, slots, this.record);
		this.workers.add(worker);
		return worker;
	}

	Daemon daemon(String name) throws IOException {
		Daemon daemon = new Daemon(this, name, nextAddress());
		this.daemons.add(daemon);
		return daemon;
	}

	/** Ends the case: 1 if the rule was broken, 0 if it held. */
	int verdict(boolean broken, String text) {
		String line = (broken ? "BROKEN: " : "held: ") + text;
		this.record.line(line);
		System.out.println(line);
		return broken ? 1 : 0;
	}

	@Override
	public void close() {
		this.daemons.forEach(Daemon::kill);
		this.workers.forEach(Worker::stop);
		this.store.stop();
		try (var files = Files.list(this.directory)) {
			for (Path file : files.toList()) {
				Files.deleteIfExists(file);
			}
			Files.deleteIfExists(this.directory);
		}
		catch (IOException ex) {
			// Temporary files only.
		}
		this.record.close();
	}

	static void sleep(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/** The words of the command in the deploy file. */
	static List<String> deployCommand() throws IOException {
		String deploy = Files.readString(Path.of("deploy/system.toml"));
		Matcher matcher = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
		if (!matcher.find()) {
			throw new IOException("no run command in deploy/system.toml");
		}
		List<String> words = new ArrayList<>(List.of(matcher.group(1).split(" ")));
		if (words.get(0).equals("java") && System.getProperty("java.home") != null) {
			words.set(0, Path.of(System.getProperty("java.home"), "bin", "java").toString());
		}
		return words;
	}

	/** Log of what was sent, answered and run, with the time since the start. */
	static final class Record {

		private final long start = System.nanoTime();

		private final PrintWriter writer;

		Record(Path file) throws IOException {
			this.writer = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
		}

		double seconds() {
			return (System.nanoTime() - this.start) / 1e9;
		}

		synchronized void line(String text) {
			this.writer.printf("%8.3f  %s%n", seconds(), text);
			this.writer.flush();
		}

		synchronized void close() {
			this.writer.close();
		}

	}

	/** A daemon process that is started with the command of the deploy file. */
	static final class Daemon {

		final Rig rig;

		final String name;

		final InetSocketAddress callers;

		final InetSocketAddress ready;

		final Path settings;

		Process process;

		Daemon(Rig rig, String name, String address) throws IOException {
			this.rig = rig;
			this.name = name;
			this.callers = new InetSocketAddress(address, freePort(address));
			this.ready = new InetSocketAddress(address, freePort(address));
			this.settings = rig.directory.resolve(name + ".conf");
			Files.writeString(this.settings, String.join("\n", "node_name=" + name, "role=router",
					"machine_class=edge", "serves=edge,control", "ip=" + address, "zone=z-a", "region=z",
					"zones.z-a=z", "listen.frontend=" + address + ":" + this.callers.getPort(),
					"listen.ready=" + address + ":" + this.ready.getPort(), "internal_ports=7340,7355",
					"seed_nodes=", "bootstrap=true", "limits.cpu_quota=0.75", "limits.cpu_cores=1",
					"limits.memory_mb=430", "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
					"discovery=platform", "entry=vip", "heartbeat_ms=1200", "bounds.seed_lag_s=3",
					"bounds.reuse_after_s=2", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.catch_up_s=4",
					"bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.loss_slack_ms=200",
					"bounds.config_apply_ms=2000", "bounds.downgrade_slack_ms=250", "bounds.max_stretch_ms=5000",
					"bounds.revoke_fail_closed=true", "bounds.revoke_ms=5000", "bounds.retry_budget_ratio=0.2",
					"bounds.budget_window_s=10", "bounds.budget_slack=56", "bounds.recover_s=12",
					"bounds.iteration_ms=120", "bounds.reuse_window_s=10",
					"platform.address=" + rig.store.address() , "platform.form=kv", "platform.writes_per_s=400",
					"platform.reads_per_s=2000", "platform.history_s=20", "platform.value_bytes=1048576", ""));
		}

		void start() throws IOException {
			ProcessBuilder builder = new ProcessBuilder(deployCommand());
			builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
			builder.environment().put("CYCLAMENSTALL_BOOT", this.settings.toString());
			builder.redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect.appendTo(this.rig.directory.resolve(this.name + ".log").toFile()));
			this.process = builder.start();
			this.rig.record.line(this.name + " started");
		}

		boolean awaitReady(long millis) {
			long end = System.nanoTime() + millis * 1_000_000;
			while (System.nanoTime() < end) {
				if (readiness(500) == 200) {
					this.rig.record.line(this.name + " is ready");
					return true;
				}
				sleep(50);
			}
			return false;
		}

		int readiness(int timeoutMillis) {
			try {
				return Client.call(this.ready, "GET /api/readyz HTTP/1.1\r\nHost: " + this.ready.getHostString()
						+ "\r\nConnection: close\r\n\r\n", new byte[0], timeoutMillis).status;
			}
			catch (IOException ex) {
				return -1;
			}
		}

		void signal(String signal) throws IOException {
			this.rig.record.line(this.name + " gets SIG" + signal);
			try {
				new ProcessBuilder("kill", "-" + signal, String.valueOf(this.process.pid())).start().waitFor();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

		List<String> log() throws IOException {
			return Files.readAllLines(this.rig.directory.resolve(this.name + ".log"));
		}

		void kill() {
			if (this.process != null) {
				this.process.destroyForcibly();
				try {
					this.process.waitFor(5, TimeUnit.SECONDS);
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}
		}

		private static int freePort(String address) throws IOException {
			try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(address))) {
				return socket.getLocalPort();
			}
		}

	}

}
