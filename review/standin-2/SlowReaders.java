import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.atomic.*;

/**
 * Clients that read slowly fetch long answers, while others send short requests on kept
 * connections. Arguments: the rule to check (mixed or config), how often a new daemon is
 * tried at most until the rule is broken, the number of slow clients, the bytes of their
 * answers, the pause between two of them (ms), how much they read at once and how long
 * they pause after it (bytes and ms), how long each of them stays at most (ms), the file
 * of the record. With TROUBLE=0 the same clients read without pauses.
 */
final class SlowReaders {

	private static final int SHORT_BYTES = 800;

	/** Machine and bounds of the site gofal-rota-grown, where they differ from those of a small deployment. */
	private static final String GOFAL = "limits.cpu_cores=2\nlimits.memory_mb=682\nlimits.max_fds=8192\nlimits.link_mbps=140.0\nbounds.contact_ms=4000\n"
			+ "bounds.drain_ms=3000\nbounds.config_apply_ms=3000\nbounds.budget_slack=198";

	private static final int TIMEOUT_MILLIS = 5_000;

	private static final AtomicInteger ok = new AtomicInteger(), refused = new AtomicInteger(), otherStatus = new AtomicInteger(), ended = new AtomicInteger(),
			unanswered = new AtomicInteger(), passedTimeout = new AtomicInteger(), wrong = new AtomicInteger();

	private static final AtomicInteger longOk = new AtomicInteger(), longRefused = new AtomicInteger(), longCut = new AtomicInteger(), longLeft = new AtomicInteger(), longOpen = new AtomicInteger();

	private static final AtomicBoolean stop = new AtomicBoolean();

	private static Lab.Daemon daemon;

	private static List<Lab.Worker> workers = new ArrayList<>();

	public static void main(String[] a) {
		Lab.guard(() -> run(a));
	}

	private static void run(String[] a) throws Exception {
		boolean mixed = a[0].equals("mixed");
		int rounds = Integer.parseInt(a[1]);
		Lab.openRecord(Path.of(a[8]));
		Lab.limit(118);
		long begun = System.nanoTime();
		for (int round = 1; round <= rounds && !isBroken(mixed); round++) {
			if (System.nanoTime() - begun > 85_000_000_000L) {
				break;
			}
			Lab.log("round " + round);
			play(mixed, a);
		}
		if (mixed) {
			Lab.exit(isBroken(true) ? 1 : 0, wrong + " successes with the signature of the worker and another body");
		}
		Lab.exit(isBroken(false) ? 1 : 0, unanswered + " of " + passedTimeout + " requests that were unanswered at the route's timeout had no answer 0.5 s later");
	}

	private static boolean isBroken(boolean mixed) {
		return mixed ? wrong.get() > 0 : unanswered.get() >= 8 && 2 * unanswered.get() > passedTimeout.get();
	}

	/** Starts a new daemon and plays the slow clients against it once. */
	private static void play(boolean mixed, String[] a) throws Exception {
		int clients = Integer.parseInt(a[2]), bytes = Integer.parseInt(a[3]), between = Integer.parseInt(a[4]), readBytes = Integer.parseInt(a[5]), pause = Integer.parseInt(a[6]),
				stay = Integer.parseInt(a[7]);
		workers.clear();
		stop.set(false);
		String ip = Lab.randomAddress();
		Lab.Store store = new Lab.Store(ip);
		store.put("op/config", Lab.config(1, "\"k1\""));
		Lab.Handler handler = (w, m, s, in, out) -> Lab.plain(m.first.contains("/long") ? bytes : SHORT_BYTES, 10).handle(w, m, s, in, out);
		for (int i = 1; i <= 4; i++) {
			Lab.Worker worker = new Lab.Worker(ip, "i-" + i, "plain", handler);
			workers.add(worker);
			store.put("servers/" + worker.id, worker.entry("ready"));
		}
		daemon = new Lab.Daemon(Path.of("").toAbsolutePath(), store, ip, GOFAL);
		daemon.start();
		if (!daemon.awaitReady(25_000)) {
			Lab.exit(2, "the daemon was not ready");
		}
		Lab.log("ready; trouble " + Lab.TROUBLE);
		int before = ok.get();
		List<Thread> threads = new ArrayList<>();
		for (int i = 0; i < 16; i++) {
			threads.add(start(SlowReaders::sendShort));
		}
		Lab.sleep(mixed ? 1_000 : 2_000);
		if (ok.get() - before < 50) {
			Lab.exit(2, "too few answers before the long ones: " + ok);
		}
		Lab.log("before: " + counts());
		long begun = System.nanoTime();
		for (int i = 0; i < clients; i++) {
			threads.add(start(() -> fetchLong(bytes, readBytes, Lab.TROUBLE ? pause : 0, stay)));
			Lab.sleep(between);
			if (i % 20 == 19) {
				Lab.log(counts());
			}
		}
		long until = begun + (clients * (long) between + stay) * 1_000_000;
		while (longOpen.get() > 0 && System.nanoTime() < until) {
			Lab.sleep(100);
		}
		Lab.log("the long answers have ended: " + counts());
		if (!mixed) {
			int answered = ok.get();
			for (int i = 0; i < 4; i++) {
				Lab.sleep(2_000);
				Lab.log(counts() + "; ready " + daemon.ready());
			}
			Lab.log("short requests answered since then, without slow clients: " + (ok.get() - answered) + "; the process runs: " + daemon.process.isAlive());
		}
		stop.set(true);
		Lab.log("OutOfMemoryError in the daemon's output: " + (Files.readString(daemon.logFile).split("OutOfMemoryError", -1).length - 1));
		Lab.sleep(200);
		daemon.close();
		for (Thread thread : threads) {
			thread.join(7_000);
		}
		for (Lab.Worker worker : workers) {
			worker.close();
		}
		store.close();
	}

	private static Thread start(Runnable task) {
		Thread thread = new Thread(null, task, "client", 256 * 1024);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	private static String counts() {
		return "short: ok " + ok + ", refused " + refused + ", other status " + otherStatus + ", ended " + ended + ", unanswered at timeout + 0.5 s " + unanswered + " of " + passedTimeout
				+ "; long: ok " + longOk + ", refused " + longRefused + ", cut " + longCut + ", left " + longLeft + ", open " + longOpen + "; wrong bodies " + wrong;
	}

	private static String ran(String id) {
		return " (run " + workers.stream().mapToInt((w) -> w.ran.getOrDefault(id, 0)).sum() + " times)";
	}

	private static void sendShort() {
		Socket socket = null;
		while (!stop.get()) {
			String id = Lab.newId();
			try {
				if (socket == null) {
					socket = daemon.open();
				}
				long sent = System.nanoTime();
				socket.setSoTimeout(TIMEOUT_MILLIS + 500);
				socket.getOutputStream().write(Lab.ascii(Lab.request(id, "POST", "/booking/short", "Deadline-Ms: 20000\r\n", 0)));
				Lab.Message answer = Lab.Message.read(socket.getInputStream(), true);
				if (System.nanoTime() - sent > TIMEOUT_MILLIS * 1_000_000L) {
					passedTimeout.incrementAndGet();
				}
				if (answer == null) {
					if (ended.incrementAndGet() <= 20) {
						Lab.log("the connection ended without an answer: " + id + ran(id));
					}
					socket.close();
					socket = null;
				}
				else if (answer.status() == 200) {
					checkBody(id, answer, SHORT_BYTES);
					ok.incrementAndGet();
				}
				else if (answer.status() == 503) {
					refused.incrementAndGet();
				}
				else {
					otherStatus.incrementAndGet();
					Lab.log(answer.first + " " + new String(answer.body) + " " + id + ran(id));
				}
			}
			catch (SocketTimeoutException ex) {
				if (socket != null) {
					passedTimeout.incrementAndGet();
					unanswered.incrementAndGet();
					Lab.log("no answer 0.5 s after the route's timeout: " + id + ran(id));
					Lab.closeQuietly(socket);
				}
				else {
					Lab.log("no connection within 2 s");
				}
				socket = null;
			}
			catch (IOException ex) {
				if (stop.get()) {
					return;
				}
				if (ended.incrementAndGet() <= 20) {
					Lab.log("the connection ended: " + ex.getMessage() + " " + id + ran(id));
				}
				socket = null;
			}
			Lab.sleep(50);
		}
	}

	private static void checkBody(String id, Lab.Message answer, int bytes) {
		boolean signed = ("s." + id).equals(answer.get("Response-Signature"));
		if (answer.complete && !(signed && Arrays.equals(answer.body, Lab.patterned(id, bytes)))) {
			wrong.incrementAndGet();
			int at = Arrays.mismatch(answer.body, Lab.patterned(id, bytes));
			Lab.log("WRONG: " + id + " " + answer.first + ", signature " + answer.get("Response-Signature") + ", complete with " + answer.body.length + " of the worker's " + bytes
					+ " bytes, another byte at " + at + ran(id));
		}
	}

	private static void fetchLong(int bytes, int readBytes, int pause, int stay) {
		longOpen.incrementAndGet();
		String id = Lab.newId();
		long end = System.nanoTime() + stay * 1_000_000L;
		try (Socket socket = new Socket()) {
			socket.setReceiveBufferSize(16_384);
			socket.connect(new InetSocketAddress(daemon.ip, daemon.callerPort), 2_000);
			socket.setSoTimeout(20_000);
			socket.getOutputStream().write(Lab.ascii(Lab.request(id, "POST", "/booking/long", "Deadline-Ms: 20000\r\n", 0)));
			InputStream in = socket.getInputStream();
			Lab.Message answer = Lab.Message.head(in);
			if (answer == null) {
				longCut.incrementAndGet();
				return;
			}
			if (answer.status() != 200) {
				longRefused.incrementAndGet();
				return;
			}
			int length = Integer.parseInt(answer.get("Content-Length"));
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			while (body.size() < length) {
				if (System.nanoTime() > end) {
					longLeft.incrementAndGet();
					return;
				}
				byte[] part = in.readNBytes(Math.min(readBytes, length - body.size()));
				if (part.length == 0) {
					longCut.incrementAndGet();
					return;
				}
				body.write(part);
				Lab.sleep(pause);
			}
			answer.body = body.toByteArray();
			answer.complete = true;
			checkBody(id, answer, bytes);
			longOk.incrementAndGet();
		}
		catch (IOException ex) {
			longCut.incrementAndGet();
		}
		finally {
			longOpen.decrementAndGet();
		}
	}

}
