import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Many users come at once, each with a request of a quarter of the permitted length. The
 * small requests of other clients must still be answered at their route's timeout.
 */
final class CaseBodies {

	private static final int UPLOADS = 100;

	private static final int UPLOAD_BYTES = 1_000_000;

	private static final int UPLOAD_MILLIS = 5_000;

	private static final int BOOK_TIMEOUT_MILLIS = 800;

	private static final int BOOK_DEADLINE_MILLIS = 1_500;

	/** Time between two bookings: 14 a second. */
	private static final int BOOK_INTERVAL_MILLIS = 71;

	public static void main(String[] arguments) throws Exception {
		int exitCode;
		try (Rig rig = new Rig(Path.of(arguments[0]))) {
			exitCode = run(rig);
		}
		System.exit(exitCode);
	}

	private static int run(Rig rig) throws Exception {
		for (int number = 1; number <= 4; number++) {
			Worker app = rig.worker("app", "app-" + number, 6);
			app.work = (worker, request, out) -> {
				Rig.sleep(60);
				worker.whole(request, out, 200, "booked");
			};
			rig.store.put("servers/" + app.id, app.entry("ready"));
			Worker engine = rig.worker("engines", "engine-" + number, 128);
			engine.work = (worker, request, out) -> worker.stream(request, out, 76, 100, 20);
			rig.store.put("servers/" + engine.id, engine.entry("ready"));
		}
		rig.store.put("op/config", new Configuration()
			.route("plan", "streaming", "engines", 2, 1, 1_500, 15_000,
					",\"public\":false,\"sticky\":true,\"resumable\":false,\"gap_aim_ms\":1000")
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
		List<Client.Answer> bookings = Collections.synchronizedList(new ArrayList<>());
		AtomicBoolean uploading = new AtomicBoolean(true);
		Thread booking = new Thread(() -> book(rig, daemon, bookings, uploading));
		booking.start();
		Rig.sleep(2_000);
		List<Thread> uploads = new ArrayList<>();
		for (int number = 1; number <= UPLOADS; number++) {
			String id = "plan-" + number;
			Thread upload = new Thread(() -> upload(rig, daemon, id));
			uploads.add(upload);
			upload.start();
			// 50 a second, or without the burst one for every half second.
			Rig.sleep(rig.trouble ? 20 : 500);
		}
		for (Thread upload : uploads) {
			upload.join();
		}
		uploading.set(false);
		booking.join();
		long longer = bookings.stream().filter((answer) -> isOpenAt(answer, BOOK_TIMEOUT_MILLIS)).count();
		long open = bookings.stream().filter((answer) -> isOpenAt(answer, BOOK_TIMEOUT_MILLIS + 500)).count();
		return rig.verdict(open >= 8 && open * 4 > longer, bookings.size() + " bookings, " + longer
				+ " without an answer at their route's timeout, " + open + " of these without one 0.5 s later");
	}

	private static boolean isOpenAt(Client.Answer answer, int millis) {
		return answer.status < 0 || answer.millis > millis;
	}

	private static void book(Rig rig, Rig.Daemon daemon, List<Client.Answer> bookings, AtomicBoolean uploading) {
		List<Thread> clients = new ArrayList<>();
		for (int number = 1; uploading.get(); number++) {
			String id = "book-" + number;
			Thread client = new Thread(() -> {
				try {
					Client.Answer answer = Client.call(daemon.callers, Client.head("POST", "/book/a",
							Configuration.HOST, id, BOOK_DEADLINE_MILLIS, "key-of-office", 600), new byte[600],
							BOOK_DEADLINE_MILLIS);
					bookings.add(answer);
					rig.record.line(id + " is answered: " + answer);
				}
				catch (IOException ex) {
					rig.record.line(id + " could not be sent: " + ex.getMessage());
				}
			});
			clients.add(client);
			client.start();
			Rig.sleep(BOOK_INTERVAL_MILLIS);
		}
		for (Thread client : clients) {
			try {
				client.join();
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private static void upload(Rig rig, Rig.Daemon daemon, String id) {
		byte[] part = new byte[UPLOAD_BYTES / 100];
		String result;
		try (Socket socket = new Socket()) {
			socket.connect(daemon.callers, 1_000);
			socket.setSoTimeout(15_500);
			OutputStream out = socket.getOutputStream();
			rig.record.line(id + " begins");
			out.write(Client
				.head("POST", "/plan/a", Configuration.HOST, id, 15_000, "key-of-office", UPLOAD_BYTES, "Model: m",
						"Token-Usage: 11992,380", "Prefix-Hash: a1:512,b" + Integer.toHexString(id.hashCode() & 0xffffff)
								+ ":4870,c" + Integer.toHexString(id.hashCode() & 0xffffff) + ":6610")
				.getBytes(StandardCharsets.ISO_8859_1));
			for (int number = 0; number < 100; number++) {
				out.write(part);
				Rig.sleep(UPLOAD_MILLIS / 100);
			}
			Http.Message message = Http.head(new BufferedInputStream(socket.getInputStream()));
			result = (message == null) ? "connection closed" : message.firstLine.trim();
		}
		catch (IOException ex) {
			result = ex.getMessage();
		}
		rig.record.line(id + " gets: " + result);
	}

}
