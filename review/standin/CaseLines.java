import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some engines hand out wrong bytes: in place of a stream's events, a good megabyte of short
 * lines. The small requests of other clients must still be answered.
 */
final class CaseLines {

	private static final int SECONDS = 9;

	private static final double GARBLE_SECONDS = 6.5;

	/** One of so many answers of a garbling engine is spoiled: 0.03 at most. */
	private static final int SPOILED_EACH = 34;

	private static final int STREAMS_A_SECOND = 40;

	private static final int BOOKINGS_A_SECOND = 14;

	private static final int BOOK_TIMEOUT_MILLIS = 800;

	private static final int BOOK_DEADLINE_MILLIS = 1_500;

	private static final int SPOILED_BYTES = 1_200_000;

	public static void main(String[] arguments) throws Exception {
		int exitCode;
		try (Rig rig = new Rig(Path.of(arguments[0]))) {
			exitCode = run(rig);
		}
		System.exit(exitCode);
	}

	private static int run(Rig rig) throws Exception {
		long[] garbleEnd = { Long.MAX_VALUE };
		AtomicInteger spoiled = new AtomicInteger();
		for (int number = 1; number <= 4; number++) {
			Worker app = rig.worker("app", "app-" + number, 6);
			app.work = (worker, request, out) -> {
				Rig.sleep(60);
				worker.whole(request, out, 200, "booked");
			};
			rig.store.put("servers/" + app.id, app.entry("ready"));
			Worker engine = rig.worker("engines", "engine-" + number, 128);
			// Half of the engines.
			boolean garbles = rig.trouble && number % 2 == 0;
			AtomicInteger answers = new AtomicInteger();
			engine.work = (worker, request, out) -> {
				if (garbles && answers.incrementAndGet() % SPOILED_EACH == 0 && System.nanoTime() < garbleEnd[0]) {
					spoiled.incrementAndGet();
					rig.record.line(worker.id + " spoils its answer to " + request.header("Attempt-Id"));
					writeLines(worker, request, out);
				}
				else {
					worker.stream(request, out, 5, 100, 20);
				}
			};
			rig.store.put("servers/" + engine.id, engine.entry("ready"));
		}
		rig.store.put("op/config", new Configuration()
			.route("summary", "streaming", "engines", 1, 1, 400, 3_000,
					",\"public\":false,\"sticky\":true,\"resumable\":false,\"gap_aim_ms\":400")
			.route("book", "unsafe", "app", 2, 1, 300, BOOK_TIMEOUT_MILLIS, ",\"public\":false")
			.service("app", 110, "")
			.service("engines", 620, ",\"engine\":{\"slots\":128,\"kv_capacity\":921226,\"stride\":5}")
			.text(7));
		Rig.Daemon daemon = rig.daemon("edge-1");
		daemon.start();
		if (!daemon.awaitReady(20_000)) {
			rig.record.line("the daemon did not become ready");
			return 2;
		}
		garbleEnd[0] = System.nanoTime() + (long) (GARBLE_SECONDS * 1e9);
		List<Client.Answer> bookings = Collections.synchronizedList(new ArrayList<>());
		List<Client.Answer> streams = Collections.synchronizedList(new ArrayList<>());
		List<Thread> clients = Collections.synchronizedList(new ArrayList<>());
		Thread booking = new Thread(() -> {
			for (int number = 1; number <= SECONDS * BOOKINGS_A_SECOND; number++) {
				clients.add(send(rig, daemon, bookings, "book-" + number, BOOK_DEADLINE_MILLIS));
				Rig.sleep(1_000 / BOOKINGS_A_SECOND);
			}
		});
		booking.start();
		for (int number = 1; number <= SECONDS * STREAMS_A_SECOND; number++) {
			clients.add(send(rig, daemon, streams, "summary-" + number, 3_000, "Model: m", "Token-Usage: 2368,25",
					"Prefix-Hash: 5c1e07a2:341,91bd3f06:227,e4402b7d:1800"));
			Rig.sleep(1_000 / STREAMS_A_SECOND);
		}
		booking.join();
		for (Thread client : List.copyOf(clients)) {
			client.join();
		}
		rig.record.line(spoiled + " streams were spoiled, " + streams.stream().filter((answer) -> !answer.complete).count()
				+ " of " + streams.size() + " streams were not answered whole");
		long longer = bookings.stream().filter((answer) -> isOpenAt(answer, BOOK_TIMEOUT_MILLIS)).count();
		long open = bookings.stream().filter((answer) -> isOpenAt(answer, BOOK_TIMEOUT_MILLIS + 500)).count();
		return rig.verdict(open >= 8 && open * 4 > longer, spoiled + " spoiled streams; " + bookings.size()
				+ " bookings, " + longer + " without an answer at their route's timeout, " + open
				+ " of these without one 0.5 s later");
	}

	private static void writeLines(Worker worker, Http.Message request, OutputStream out) throws IOException {
		Worker.write(out, "HTTP/1.1 200 A\r\nAttempt-Id: " + request.header("Attempt-Id")
				+ "\r\nResponse-Signature: s-" + worker.id
				+ "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
		String lines = ":\n".repeat(8_000);
		for (int written = 0; written < SPOILED_BYTES; written += lines.length()) {
			Worker.write(out, Integer.toHexString(lines.length()) + "\r\n" + lines + "\r\n");
		}
		Worker.write(out, "0\r\n\r\n");
	}

	private static boolean isOpenAt(Client.Answer answer, int millis) {
		return answer.status < 0 || answer.millis > millis;
	}

	private static Thread send(Rig rig, Rig.Daemon daemon, List<Client.Answer> answers, String id, int deadlineMillis,
			String... headers) {
		String route = id.substring(0, id.indexOf('-'));
		Thread client = new Thread(() -> {
			try {
				Client.Answer answer = Client.call(daemon.callers, Client.head("POST", "/" + route + "/a",
						Configuration.HOST, id, deadlineMillis, "key-of-office", 600, headers), new byte[600],
						deadlineMillis);
				answers.add(answer);
				rig.record.line(id + " is answered: " + answer);
			}
			catch (IOException ex) {
				rig.record.line(id + " could not be sent: " + ex.getMessage());
			}
		});
		client.start();
		return client;
	}

}
