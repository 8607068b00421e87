import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Clients leave before their deadline: each ends its connection in an orderly way, that
 * is, it ends its sending half first and reads until the other side ends too. Whatever
 * comes then must not be a success that no worker gave, or a part that looks whole.
 */
final class CaseLeave {

	private static final int EVENTS = 20;

	private static final int ROUNDS = 5;

	public static void main(String[] arguments) throws Exception {
		int exitCode;
		try (Rig rig = new Rig(Path.of(arguments[0]))) {
			exitCode = run(rig);
		}
		System.exit(exitCode);
	}

	private static int run(Rig rig) throws Exception {
		for (int number = 1; number <= 2; number++) {
			Worker app = rig.worker("app", "app-" + number, 6);
			app.work = (worker, request, out) -> {
				Rig.sleep(600);
				worker.whole(request, out, 200, "answer to " + request.header("Attempt-Id"));
			};
			rig.store.put("servers/" + app.id, app.entry("ready"));
			Worker engine = rig.worker("engines", "engine-" + number, 128);
			engine.work = (worker, request, out) -> worker.stream(request, out, EVENTS, 50, 100);
			rig.store.put("servers/" + engine.id, engine.entry("ready"));
		}
		rig.store.put("op/config", new Configuration()
			.route("book", "unsafe", "app", 2, 1, 700, 3_000, ",\"public\":false")
			.route("lookup", "safe", "app", 2, 2, 700, 3_000, ",\"public\":false")
			.route("plan", "streaming", "engines", 2, 1, 1_500, 15_000,
					",\"public\":false,\"sticky\":true,\"resumable\":false,\"gap_aim_ms\":1000")
			.service("app", 110, "")
			.service("engines", 620, ",\"engine\":{\"slots\":128,\"kv_capacity\":921226,\"stride\":5}")
			.text(7));
		Rig.Daemon daemon = rig.daemon("edge-1");
		daemon.start();
		if (!daemon.awaitReady(20_000)) {
			rig.record.line("the daemon did not become ready");
			return 2;
		}
		List<String> wrong = Collections.synchronizedList(new ArrayList<>());
		int leavers = 0;
		int sent = 0;
		for (int round = 1; round <= ROUNDS; round++) {
			List<Thread> clients = new ArrayList<>();
			for (int number = 0; number < 10; number++) {
				String route = List.of("book", "lookup", "plan").get(number % 3);
				String id = route + "-" + round + "-" + number;
				// Three of ten clients leave, one on each route.
				boolean leaves = rig.trouble && number < 3;
				leavers += leaves ? 1 : 0;
				sent++;
				Thread client = new Thread(() -> {
					try {
						String fault = request(rig, daemon, route, id, leaves);
						if (fault != null) {
							wrong.add(id + " " + fault);
						}
					}
					catch (IOException ex) {
						rig.record.line(id + ": " + ex);
					}
				});
				clients.add(client);
				client.start();
			}
			for (Thread client : clients) {
				client.join();
			}
		}
		wrong.sort(null);
		return rig.verdict(!wrong.isEmpty(), sent + " requests, " + leavers + " clients left, " + wrong.size()
				+ " wrong answers: " + wrong);
	}

	private static String request(Rig rig, Rig.Daemon daemon, String route, String id, boolean leaves)
			throws IOException {
		String[] headers = route.equals("plan") ? new String[] { "Model: m", "Token-Usage: 1460,80",
				"Prefix-Hash: 5c1e07a2:800,91bd3f06:410,e4402b7d:250" } : new String[0];
		String head = Client.head("POST", "/" + route + "/a", Configuration.HOST, id, 3_000, "key-of-office", 600,
				headers);
		try (Socket socket = new Socket()) {
			socket.connect(daemon.callers, 1_000);
			socket.setSoTimeout(5_000);
			socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
			socket.getOutputStream().write(new byte[600]);
			rig.record.line(id + " is sent");
			if (leaves) {
				Rig.sleep(route.equals("plan") ? 700 : 200);
				socket.shutdownOutput();
				rig.record.line("the client of " + id + " leaves: it ends its half of the connection");
			}
			return judge(rig, id, socket);
		}
	}

	/** Returns what breaks the rule MIXED, or null. */
	private static String judge(Rig rig, String id, Socket socket) throws IOException {
		BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		Http.Message message;
		boolean complete = false;
		try {
			message = Http.head(in);
			if (message != null) {
				Http.body(in, message, true, body);
				complete = true;
			}
		}
		catch (IOException ex) {
			message = null;
		}
		if (message == null) {
			rig.record.line(id + " gets no whole answer");
			return null;
		}
		String signature = message.header("Response-Signature");
		String text = body.toString(StandardCharsets.UTF_8);
		int pieces = text.split("id: ", -1).length - 1;
		rig.record.line(id + " gets \"" + message.firstLine.trim() + "\", signature " + signature + ", Attempt-Id "
				+ message.header("Attempt-Id") + ", " + body.size() + " bytes, " + pieces + " pieces, "
				+ (complete ? "which looks complete" : "incomplete"));
		boolean success = message.firstLine.split(" ")[1].startsWith("2");
		if (!success || !complete) {
			return null;
		}
		if (signature == null) {
			return "is a success without a signature";
		}
		if (id.startsWith("plan") && pieces != EVENTS) {
			return "ends after " + pieces + " of " + EVENTS + " pieces and looks complete";
		}
		return null;
	}

}
