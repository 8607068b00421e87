import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.atomic.*;

/**
 * Two of four workers are faulty for a time: they end one of 34 answers with trailers that
 * do not end, until the daemon closes the connection, beside short requests on kept
 * connections. Argument: the file of the record. With TROUBLE=0 all answers are sound.
 */
final class EndlessTrailers {

	private static final int TIMEOUT_MILLIS = 5_000, BYTES = 800;

	/** One of so many answers of a faulty worker is spoiled. */
	private static final int ANSWERS_FOR_EACH = 34;

	/** How long the workers are faulty. */
	private static final long FAULTY_NANOS = 5_000_000_000L;

	private static final AtomicInteger ok = new AtomicInteger(), refused = new AtomicInteger(), otherStatus = new AtomicInteger(), ended = new AtomicInteger(), unanswered = new AtomicInteger(),
			passedTimeout = new AtomicInteger();

	private static final Map<String, AtomicInteger> faultyAnswers = Map.of("i-1", new AtomicInteger(), "i-2", new AtomicInteger());

	private static final AtomicInteger spoiled = new AtomicInteger();

	private static final AtomicBoolean stop = new AtomicBoolean();

	private static volatile long faultyFromNanos;

	private static final AtomicLong trailerBytes = new AtomicLong();

	private static final List<Lab.Worker> workers = new ArrayList<>();

	private static Lab.Daemon daemon;

	public static void main(String[] a) {
		Lab.guard(() -> run(a));
	}

	private static void run(String[] a) throws Exception {
		Lab.openRecord(Path.of(a[0]));
		Lab.limit(110);
		String ip = Lab.randomAddress();
		Lab.Store store = new Lab.Store(ip);
		store.put("op/config", Lab.config(1, "\"k1\""));
		Lab.Handler sound = Lab.plain(BYTES, 20);
		for (int i = 1; i <= 4; i++) {
			boolean faulty = i <= 2;
			Lab.Worker worker = new Lab.Worker(ip, "i-" + i, "plain", (w, m, s, in, out) -> faulty ? answerFaultily(sound, w, m, s, in, out) : sound.handle(w, m, s, in, out));
			workers.add(worker);
			store.put("servers/" + worker.id, worker.entry("ready"));
		}
		daemon = new Lab.Daemon(Path.of("").toAbsolutePath(), store, ip, "");
		daemon.start();
		if (!daemon.awaitReady(25_000)) {
			Lab.exit(2, "the daemon was not ready");
		}
		Lab.log("ready; trouble " + Lab.TROUBLE);
		faultyFromNanos = System.nanoTime() + 1_000_000_000;
		for (int i = 0; i < 16; i++) {
			Thread thread = new Thread(null, EndlessTrailers::send, "client", 256 * 1024);
			thread.setDaemon(true);
			thread.start();
		}
		for (int i = 0; i < 12; i++) {
			Lab.sleep(2_000);
			Lab.log(counts() + "; ready " + daemon.ready());
		}
		stop.set(true);
		if (Lab.TROUBLE && spoiled.get() == 0) {
			Lab.exit(2, "no answer was spoiled");
		}
		Lab.log("the process runs: " + daemon.process.isAlive());
		boolean broken = unanswered.get() >= 8 && 2 * unanswered.get() > passedTimeout.get();
		Lab.exit(broken ? 1 : 0, unanswered + " of " + passedTimeout + " requests that were unanswered at the route's timeout had no answer 0.5 s later");
	}

	private static boolean answerFaultily(Lab.Handler sound, Lab.Worker worker, Lab.Message request, Socket socket, InputStream in, OutputStream out) throws Exception {
		long sinceNanos = System.nanoTime() - faultyFromNanos;
		boolean faulty = Lab.TROUBLE && sinceNanos >= 0 && sinceNanos < FAULTY_NANOS;
		if (!faulty || faultyAnswers.get(worker.id).incrementAndGet() % ANSWERS_FOR_EACH != 0) {
			return sound.handle(worker, request, socket, in, out);
		}
		request.body(in, false);
		worker.begin(request);
		spoiled.incrementAndGet();
		Lab.log("answer " + faultyAnswers.get(worker.id) + " of " + worker.id + " since it is faulty is spoiled, to " + request.get("Attempt-Id"));
		OutputStream buffered = new BufferedOutputStream(out, 65_536);
		buffered.write(Lab.ascii(Lab.Worker.head(request, "Transfer-Encoding: chunked\r\n") + "5\r\nhello\r\n0\r\n"));
		try {
			for (int number = 0;; number++) {
				byte[] trailer = Lab.ascii("X-" + number + "-yyyyyyyyyyyyyyyyyyyyyyyyyyyy: zzzzzzzzzzzzzzzzzzzzzz\r\n");
				buffered.write(trailer);
				trailerBytes.addAndGet(trailer.length);
			}
		}
		catch (IOException ex) {
			Lab.log("the daemon has closed the connection of a spoiled answer; bytes of trailers: " + trailerBytes);
			throw ex;
		}
	}

	private static String counts() {
		return "ok " + ok + ", refused " + refused + ", other status " + otherStatus + ", ended " + ended + ", unanswered at timeout + 0.5 s " + unanswered + " of " + passedTimeout
				+ "; spoiled answers " + spoiled + ", bytes of trailers " + trailerBytes;
	}

	private static String ran(String id) {
		return " (run " + workers.stream().mapToInt((w) -> w.ran.getOrDefault(id, 0)).sum() + " times)";
	}

	private static void send() {
		Socket socket = null;
		while (!stop.get()) {
			String id = Lab.newId();
			try {
				socket = (socket != null) ? socket : daemon.open();
				socket.setSoTimeout(TIMEOUT_MILLIS + 500);
				long sent = System.nanoTime();
				socket.getOutputStream().write(Lab.ascii(Lab.request(id, "POST", "/booking/x", "Deadline-Ms: 20000\r\n", 0)));
				Lab.Message answer = Lab.Message.read(socket.getInputStream(), true);
				if (System.nanoTime() - sent > TIMEOUT_MILLIS * 1_000_000L) {
					passedTimeout.incrementAndGet();
				}
				if (answer == null) {
					ended.incrementAndGet();
					socket.close();
					socket = null;
				}
				else {
					((answer.status() == 200) ? ok : (answer.status() == 503) ? refused : otherStatus).incrementAndGet();
				}
			}
			catch (SocketTimeoutException ex) {
				if (!stop.get() && socket != null) {
					passedTimeout.incrementAndGet();
					unanswered.incrementAndGet();
					Lab.log("no answer 0.5 s after the route's timeout: " + id + ran(id));
				}
				Lab.closeQuietly(socket);
				socket = null;
			}
			catch (IOException ex) {
				ended.incrementAndGet();
				Lab.closeQuietly(socket);
				socket = null;
			}
			Lab.sleep(50);
		}
	}

}
