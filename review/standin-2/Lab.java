import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** Small stand-ins of the platform's store, of workers and of clients, and a daemon process. */
final class Lab {

	static final long T0 = System.nanoTime();

	static PrintWriter record;

	private static final List<Process> processes = new CopyOnWriteArrayList<>();

	private static final ScheduledExecutorService watchdog = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "watchdog");
		thread.setDaemon(true);
		return thread;
	});

	static {
		Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
	}

	/** The environment variable TROUBLE: without it, or with another value than 0, the disruption is played. */
	static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

	static void openRecord(Path file) throws IOException {
		record = new PrintWriter(Files.newBufferedWriter(file));
	}

	/** Exit code of the program if the rule was broken; the code 1 is left to the launcher. */
	private static final int BROKEN = 10;

	interface Step {
		void run() throws Exception;
	}

	/** Runs a case; an exception means that it could not run. */
	static void guard(Step step) {
		try {
			step.run();
		}
		catch (Exception | Error ex) {
			ex.printStackTrace();
			exit(2, "the case failed: " + ex);
		}
	}

	/** Ends the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
	static synchronized void exit(int code, String verdict) {
		log("exit " + code + ": " + verdict);
		for (Process process : processes) {
			process.destroyForcibly();
			try {
				process.waitFor();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		System.exit((code == 1) ? BROKEN : code);
	}

	/** Ends the whole run if it lasts too long. */
	static void limit(int seconds) {
		watchdog.schedule(() -> exit(2, "the case took too long"), seconds, TimeUnit.SECONDS);
	}

	/** Byte of a body at a position. */
	static byte pattern(String id, int at) {
		return (byte) ('a' + Math.floorMod(id.hashCode() + at / 64 * 31 + at, 26));
	}

	static byte[] patterned(String id, int bytes) {
		byte[] body = new byte[bytes];
		for (int i = 0; i < bytes; i++) {
			body[i] = pattern(id, i);
		}
		return body;
	}

	static synchronized void log(String s) {
		String line = String.format(Locale.ROOT, "%8.3f %s", (System.nanoTime() - T0) / 1e9, s);
		System.out.println(line);
		if (record != null) {
			record.println(line);
			record.flush();
		}
	}

	static String randomAddress() {
		Random r = new Random();
		return "127." + (1 + r.nextInt(250)) + "." + (1 + r.nextInt(250)) + "." + (2 + r.nextInt(250));
	}

	static void sleepNanos(long nanos) {
		if (nanos > 0) {
			try {
				TimeUnit.NANOSECONDS.sleep(nanos);
			}
			catch (InterruptedException ex) {
				throw new RuntimeException(ex);
			}
		}
	}

	static byte[] ascii(String s) {
		return s.getBytes(StandardCharsets.ISO_8859_1);
	}

	static void sleep(long ms) {
		try {
			Thread.sleep(ms);
		}
		catch (InterruptedException ex) {
			throw new RuntimeException(ex);
		}
	}

	/** One message of HTTP/1.1, a request or a response. */
	static final class Message {
		String first;
		final List<String[]> headers = new ArrayList<>();
		byte[] body = {};
		boolean complete;
		String get(String name) {
			for (String[] h : headers) {
				if (h[0].equalsIgnoreCase(name)) {
					return h[1];
				}
			}
			return null;
		}
		int status() {
			return Integer.parseInt(first.split(" ")[1]);
		}
		static String readLine(InputStream in) throws IOException {
			ByteArrayOutputStream line = new ByteArrayOutputStream();
			for (int c = in.read(); ; c = in.read()) {
				if (c < 0) {
					return (line.size() == 0) ? null : line.toString(StandardCharsets.ISO_8859_1) + "<EOF>";
				}
				if (c == '\n') {
					String s = line.toString(StandardCharsets.ISO_8859_1);
					return s.endsWith("\r") ? s.substring(0, s.length() - 1) : s;
				}
				line.write(c);
			}
		}
		/** Reads the head; null at the end of the connection. */
		static Message head(InputStream in) throws IOException {
			String first = readLine(in);
			if (first == null) {
				return null;
			}
			Message m = new Message();
			m.first = first;
			for (String l = readLine(in); l != null && !l.isEmpty(); l = readLine(in)) {
				int c = l.indexOf(':');
				m.headers.add(new String[] { l.substring(0, Math.max(0, c)), l.substring(c + 1).trim() });
			}
			return m;
		}
		void body(InputStream in, boolean response) throws IOException {
			ByteArrayOutputStream out = new ByteArrayOutputStream();
			if ("chunked".equalsIgnoreCase(get("Transfer-Encoding"))) {
				while (true) {
					String l = readLine(in);
					if (l == null) {
						body = out.toByteArray();
						return;
					}
					int n = Integer.parseInt(l.trim(), 16);
					if (n == 0) {
						String t = readLine(in);
						complete = t != null && t.isEmpty();
						body = out.toByteArray();
						return;
					}
					byte[] b = in.readNBytes(n);
					out.write(b);
					if (b.length < n) {
						body = out.toByteArray();
						return;
					}
					readLine(in);
				}
			}
			String len = get("Content-Length");
			if (len != null) {
				int n = Integer.parseInt(len);
				body = in.readNBytes(n);
				complete = body.length == n;
			}
			else if (response && status() != 204 && status() != 304) {
				body = in.readAllBytes();
				complete = true;
			}
			else {
				complete = true;
			}
		}
		static Message read(InputStream in, boolean response) throws IOException {
			Message m = head(in);
			if (m != null) {
				m.body(in, response);
			}
			return m;
		}
	}

	/** Store of the platform: range reads and watches. */
	static final class Store implements AutoCloseable {
		final ServerSocket server;
		final TreeMap<String, String> items = new TreeMap<>();
		final List<String[]> history = new ArrayList<>();
		long revision = 100;
		/** Status of all answers to the daemon; anything but 200 turns it away. The operator is served in any case. */
		volatile int status = 200;
		/** Bytes per second of the link to the daemon, 0 for no limit. */
		volatile long bytesPerSecond;
		/** How long a change is kept, 0 for ever. */
		volatile long historyMillis;
		private long discardedRevision;
		private long linkFreeAtNanos = System.nanoTime();
		Store(String ip) throws IOException {
			server = new ServerSocket(0, 200, InetAddress.getByName(ip));
			Thread t = new Thread(this::accept, "store");
			t.setDaemon(true);
			t.start();
		}
		String address() {
			return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
		}
		synchronized void put(String key, String value) {
			putEncoded(key, "\"" + Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)) + "\"");
		}
		synchronized void putEncoded(String key, String json) {
			revision++;
			String item = "{\"key\":\"" + key + "\",\"value\":" + json + ",\"revision\":" + revision + ",\"created\":" + revision + ",\"lease_id\":0}";
			items.put(key, item);
			history.add(new String[] { "" + revision, item, "" + System.nanoTime() });
			notifyAll();
		}
		synchronized void remove(String key) {
			revision++;
			items.remove(key);
			history.add(new String[] { "" + revision, "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"compacted\":true}", "" + System.nanoTime() });
			notifyAll();
		}
		private void accept() {
			while (true) {
				try {
					Socket s = server.accept();
					Thread t = new Thread(() -> serve(s), "store-conn");
					t.setDaemon(true);
					t.start();
				}
				catch (IOException ex) {
					return;
				}
			}
		}
		private void serve(Socket s) {
			try (s) {
				s.setTcpNoDelay(true);
				InputStream in = new BufferedInputStream(s.getInputStream());
				while (true) {
					Message m = Message.read(in, false);
					if (m == null) {
						return;
					}
					String body = "{}";
					int code = status;
					if (code == 200) {
						URI uri = URI.create("http://x" + m.first.split(" ")[1]);
						Map<String, String> q = new HashMap<>();
						if (uri.getRawQuery() != null) {
							for (String p : uri.getRawQuery().split("&")) {
								String[] kv = p.split("=", 2);
								q.put(kv[0], URLDecoder.decode(kv.length > 1 ? kv[1] : "", StandardCharsets.UTF_8));
							}
						}
						body = switch (uri.getPath()) {
							case "/api/kv-range" -> range(q.getOrDefault("path_prefix", ""));
							case "/api/kv-watch" -> watch(q.getOrDefault("path_prefix", ""), Long.parseLong(q.get("after")), Long.parseLong(q.get("wait_ms")));
							default -> null;
						};
						if (body == null) {
							code = uri.getPath().equals("/api/kv-watch") ? 410 : 404;
							body = "{}";
						}
						else if (status != 200) {
							// A watch that is waiting may be cut.
							return;
						}
					}
					byte[] b = body.getBytes(StandardCharsets.UTF_8);
					s.getOutputStream().write(ascii("HTTP/1.1 " + code + " X\r\nContent-Type: application/json\r\nContent-Length: " + b.length + "\r\n\r\n"));
					send(s.getOutputStream(), b);
				}
			}
			catch (IOException | RuntimeException ex) {
				// The connection ends.
			}
		}
		private void send(OutputStream out, byte[] bytes) throws IOException {
			for (int at = 0; at < bytes.length; at += 8_192) {
				int count = Math.min(8_192, bytes.length - at);
				sleepNanos(occupyLink(count));
				out.write(bytes, at, count);
			}
		}
		/** Returns how long to wait until the bytes have passed the link. */
		private synchronized long occupyLink(int bytes) {
			long now = System.nanoTime();
			if (bytesPerSecond == 0) {
				return 0;
			}
			linkFreeAtNanos = Math.max(linkFreeAtNanos, now) + bytes * 1_000_000_000L / bytesPerSecond;
			return linkFreeAtNanos - now;
		}
		private synchronized String range(String prefix) {
			StringBuilder sb = new StringBuilder("{\"has_more\":false,\"at\":" + revision + ",\"items\":[");
			String sep = "";
			for (Map.Entry<String, String> e : items.entrySet()) {
				if (e.getKey().startsWith(prefix)) {
					sb.append(sep).append(e.getValue());
					sep = ",";
				}
			}
			return sb.append("]}").toString();
		}
		private synchronized String watch(String prefix, long after, long waitMs) {
			long end = System.nanoTime() + waitMs * 1_000_000;
			if (historyMillis > 0) {
				while (!history.isEmpty() && System.nanoTime() - Long.parseLong(history.get(0)[2]) > historyMillis * 1_000_000) {
					discardedRevision = Long.parseLong(history.remove(0)[0]);
				}
				if (after < discardedRevision) {
					return null;
				}
			}
			while (revision <= after && System.nanoTime() < end) {
				try {
					wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
				}
				catch (InterruptedException ex) {
					return null;
				}
			}
			StringBuilder sb = new StringBuilder("{\"at\":" + revision + ",\"events\":[");
			String sep = "";
			for (String[] h : history) {
				if (Long.parseLong(h[0]) > after) {
					sb.append(sep).append(h[1]);
					sep = ",";
				}
			}
			return sb.append("]}").toString();
		}
		@Override
		public void close() throws IOException {
			server.close();
		}
	}

	interface Handler {
		/** Answers one request; returns false to end the connection. */
		boolean handle(Worker w, Message m, Socket s, InputStream in, OutputStream out) throws Exception;
	}

	/** One worker. */
	static final class Worker implements AutoCloseable {
		final ServerSocket server;
		final String id;
		final String service;
		final long born = System.currentTimeMillis();
		volatile Handler handler;
		final AtomicInteger runs = new AtomicInteger();
		final Set<Socket> open = ConcurrentHashMap.newKeySet();
		final ConcurrentHashMap<String, Integer> ran = new ConcurrentHashMap<>();
		Worker(String ip, String id, String service, Handler handler) throws IOException {
			this.id = id;
			this.service = service;
			this.handler = handler;
			server = new ServerSocket(0, 1000, InetAddress.getByName(ip));
			Thread t = new Thread(this::accept, id);
			t.setDaemon(true);
			t.start();
		}
		String entry(String state) {
			return "{\"service\":\"" + service + "\",\"address\":\"" + server.getInetAddress().getHostAddress() + ":" + server.getLocalPort()
					+ "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":128,\"state\":\"" + state + "\",\"cold_left_ms\":0,\"seq\":1,\"born\":" + born + "}";
		}
		private void accept() {
			while (true) {
				try {
					Socket s = server.accept();
					open.add(s);
					Thread t = new Thread(null, () -> serve(s), id + "-conn", 256 * 1024);
					t.setDaemon(true);
					t.start();
				}
				catch (IOException ex) {
					return;
				}
			}
		}
		private void serve(Socket s) {
			try (s) {
				s.setTcpNoDelay(true);
				InputStream in = new BufferedInputStream(s.getInputStream());
				OutputStream out = s.getOutputStream();
				while (true) {
					Message m = Message.head(in);
					if (m == null || !handler.handle(this, m, s, in, out)) {
						return;
					}
				}
			}
			catch (Exception ex) {
				// The connection ends.
			}
			finally {
				open.remove(s);
			}
		}
		void begin(Message m) {
			runs.incrementAndGet();
			ran.merge(m.get("Attempt-Id"), 1, Integer::sum);
		}
		static String head(Message m, String more) {
			return "HTTP/1.1 200 OK\r\nAttempt-Id: " + m.get("Attempt-Id") + "\r\nResponse-Signature: s." + m.get("Attempt-Id") + "\r\n" + more + "\r\n";
		}
		@Override
		public void close() throws IOException {
			server.close();
			for (Socket s : open) {
				s.close();
			}
		}
	}

	private static final long UNREAD_MILLIS = 6_000;

	static void closeQuietly(Socket s) {
		if (s == null) {
			return;
		}
		try {
			s.close();
		}
		catch (IOException ex) {
			// It is closed.
		}
	}

	/** Answers with a body of some bytes. */
	static Handler plain(int bytes, long workMs) {
		return (w, m, s, in, out) -> {
			m.body(in, false);
			w.begin(m);
			if (workMs > 0) {
				sleep(workMs);
			}
			byte[] body = patterned(m.get("Attempt-Id"), bytes);
			// A response that remains unread for some seconds is cut off.
			ScheduledFuture<?> cutOff = watchdog.schedule(() -> closeQuietly(s), UNREAD_MILLIS, TimeUnit.MILLISECONDS);
			out.write(ascii(Worker.head(m, "Content-Type: application/octet-stream\r\nContent-Length: " + bytes + "\r\n")));
			out.write(body);
			cutOff.cancel(false);
			return true;
		};
	}

	/** A daemon process, started by the command of the deploy file. */
	static final class Daemon implements AutoCloseable {
		final String ip;
		final int callerPort;
		final int readyPort;
		Process process;
		final Path settings;
		final Path logFile;
		final Path root;
		Daemon(Path root, Store store, String ip, String extra) throws IOException {
			this.root = root;
			this.ip = ip;
			callerPort = freePort(ip);
			readyPort = freePort(ip);
			int internal = freePort(ip);
			settings = Files.createTempFile("settings", ".conf");
			logFile = Files.createTempFile("daemon", ".log");
			Files.writeString(settings, String.join("\n", "node_name=edge-a-1", "role=router", "machine_class=edge", "serves=edge,control", "ip=" + ip, "zone=a", "region=r",
					"zones.a=r", "listen.frontend=" + ip + ":" + callerPort, "listen.ready=" + ip + ":" + readyPort, "internal_ports=" + internal + "," + internal,
					"bootstrap=true", "limits.cpu_quota=0.75", "limits.cpu_cores=1", "limits.memory_mb=430", "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
					"discovery=platform", "entry=vip", "heartbeat_ms=1200", "bounds.contact_ms=3000", "bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.config_apply_ms=2000",
					"bounds.revoke_fail_closed=true", "bounds.revoke_ms=5000", "bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.budget_slack=56",
					"platform.address=" + store.address(), "platform.form=kv", extra, ""));
		}
		static int freePort(String ip) throws IOException {
			try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
				return s.getLocalPort();
			}
		}
		void start() throws IOException {
			String run = null;
			for (String l : Files.readAllLines(root.resolve("deploy/system.toml"))) {
				if (l.startsWith("run = ")) {
					run = l.substring(l.indexOf('"') + 1, l.lastIndexOf('"'));
				}
			}
			ProcessBuilder b = new ProcessBuilder(run.split(" "));
			b.directory(root.toFile());
			b.environment().put("CYCLAMENSTALL_BOOT", settings.toString());
			b.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()));
			process = b.start();
			processes.add(process);
		}
		boolean awaitReady(long ms) {
			long end = System.nanoTime() + ms * 1_000_000;
			while (System.nanoTime() < end) {
				if (ready()) {
					return true;
				}
				sleep(50);
			}
			return false;
		}
		boolean ready() {
			try (Socket s = new Socket()) {
				s.connect(new InetSocketAddress(ip, readyPort), 1000);
				s.setSoTimeout(1000);
				s.getOutputStream().write(ascii("GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"));
				Message m = Message.read(s.getInputStream(), true);
				return m != null && m.status() == 200;
			}
			catch (IOException ex) {
				return false;
			}
		}
		void signal(String name) throws IOException {
			new ProcessBuilder("kill", "-" + name, "" + process.pid()).start();
		}
		Socket open() throws IOException {
			Socket s = new Socket();
			s.connect(new InetSocketAddress(ip, callerPort), 2000);
			s.setTcpNoDelay(true);
			s.setSoTimeout(30_000);
			return s;
		}
		@Override
		public void close() throws IOException {
			if (process != null) {
				process.destroyForcibly();
			}
			Files.deleteIfExists(settings);
			Files.deleteIfExists(logFile);
		}
	}

	static final AtomicLong ids = new AtomicLong(System.nanoTime() & 0xffffffL);

	static String newId() {
		return String.format("%016x", ids.incrementAndGet());
	}

	static String request(String id, String method, String path, String more, int length) {
		return method + " " + path + " HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: " + id + "\r\nApi-Key: k1\r\n" + more
				+ ((length >= 0) ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
	}

	static String route(String name, String type, String service, boolean resumable, int sloMs, int timeoutMs, int attempts) {
		return "{\"name\":\"" + name + "\",\"host\":\"site.example\",\"path_prefix\":\"/" + name + "/\",\"type\":\"" + type + "\",\"timeout_ms\":" + timeoutMs + ",\"slo_ms\":" + sloMs
				+ ",\"priority\":2,\"service\":\"" + service + "\",\"attempts\":" + attempts + ",\"public\":false,\"sticky\":" + type.equals("streaming") + ",\"resumable\":" + resumable + ",\"gap_aim_ms\":250}";
	}

	static String config(int version, String keys) {
		return "{\"version\":" + version + ",\"routes\":[" + route("chat", "streaming", "llm", true, 300, 12000, 2) + "," + route("digest", "streaming", "llm", false, 1500, 15000, 1) + ","
				+ route("lookup", "safe", "plain", false, 300, 5000, 2) + "," + route("booking", "unsafe", "plain", false, 300, 5000, 1)
				+ "],\"services\":[{\"name\":\"llm\",\"max_conns\":620,\"engine\":{\"slots\":128,\"kv_capacity\":921226,\"stride\":5}},{\"name\":\"plain\",\"max_conns\":620}],"
				+ "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
				+ "\"tenants\":[{\"name\":\"office\",\"api_keys\":[" + keys + "],\"priority\":1}]}";
	}

}
