import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * SIGTERM while all places at the engines are taken by long streams. The requests that
 * clients send in the second after the SIGTERM wait in the daemon.
 */
final class CaseShutdown {

	private static final int GRACE_MILLIS = 8_000;

	private static final int LOSS_SLACK_MILLIS = 200;

	private static final int TIMEOUT_MILLIS = 15_000;

	private static final int ENGINES = 1;

	private static final int SLOTS = 4;

	/** As many as the engines run and hold in their own queues. */
	private static final int SENT_BEFORE = 6;

	private static final int SENT_AFTER = 4;

	public static void main(String[] arguments) throws Exception {
		int exitCode;
		try (Rig rig = new Rig(Path.of(arguments[0]))) {
			exitCode = run(rig);
		}
		System.exit(exitCode);
	}

	private static int run(Rig rig) throws Exception {
		Set<String> received = ConcurrentHashMap.newKeySet();
		for (int number = 1; number <= ENGINES; number++) {
			Worker engine = rig.worker("engines", "engine-" + number, SLOTS);
			engine.onReceive = received::add;
			// 76 events with pauses of 150 ms, the first after 100 ms: 11.4 s.
			engine.work = (worker, request, out) -> worker.stream(request, out, 76, 100, 150);
			rig.store.put("servers/" + engine.id, engine.entry("ready"));
		}
		rig.store.put("op/config", new Configuration()
			.route("plan", "streaming", "engines", 2, 1, 1_500, TIMEOUT_MILLIS,
					",\"public\":false,\"sticky\":true,\"resumable\":false,\"gap_aim_ms\":1000")
			.service("engines", 620, ",\"engine\":{\"slots\":" + SLOTS + ",\"kv_capacity\":921226,\"stride\":5}")
			.text(7));
		Rig.Daemon daemon = rig.daemon("edge-1");
		daemon.start();
		if (!daemon.awaitReady(20_000)) {
			rig.record.line("the daemon did not become ready");
			return 2;
		}
		List<Thread> clients = new ArrayList<>();
		Map<String, Client.Answer> answers = new ConcurrentHashMap<>();
		for (int number = 1; number <= SENT_BEFORE; number++) {
			clients.add(send(rig, daemon, "before-" + number, answers));
			Rig.sleep(150);
		}
		for (int wait = 0; wait < 20 && received.size() < SENT_BEFORE; wait++) {
			Rig.sleep(100);
		}
		if (received.size() < SENT_BEFORE) {
			rig.record.line("only " + received.size() + " requests have reached the engines");
			return 2;
		}
		long start = System.nanoTime();
		if (rig.trouble) {
			daemon.signal("TERM");
		}
		for (int number = 1; number <= SENT_AFTER; number++) {
			Rig.sleep(300);
			clients.add(send(rig, daemon, "after-" + number, answers));
		}
		if (rig.trouble) {
			if (daemon.process.waitFor(GRACE_MILLIS - (System.nanoTime() - start) / 1_000_000, TimeUnit.MILLISECONDS)) {
				rig.record.line("edge-1 has ended");
			}
			else {
				daemon.signal("KILL");
			}
		}
		for (Thread client : clients) {
			client.join();
		}
		Set<String> lost = new TreeSet<>();
		answers.forEach((id, answer) -> {
			boolean closedEarly = answer.status == 0 || (answer.status > 0 && !answer.complete);
			if (closedEarly && !received.contains(id) && answer.millis > LOSS_SLACK_MILLIS
					&& answer.millis < TIMEOUT_MILLIS - 100) {
				lost.add(id);
			}
		});
		return rig.verdict(!lost.isEmpty(), lost.size()
				+ " requests were read, not passed on, and their connections closed without an answer: " + lost);
	}

	private static Thread send(Rig rig, Rig.Daemon daemon, String id, Map<String, Client.Answer> answers) {
		Thread client = new Thread(() -> {
			try {
				int hash = id.hashCode() & 0xffffff;
				Client.Answer answer = Client.call(daemon.callers,
						Client.head("POST", "/plan/a", Configuration.HOST, id, TIMEOUT_MILLIS, "key-of-office", 12_000,
								"Model: m", "Token-Usage: 11992,380", "Prefix-Hash: a1:512,b" + Integer.toHexString(hash)
										+ ":4870,c" + Integer.toHexString(hash) + ":6610"),
						new byte[12_000], TIMEOUT_MILLIS + 500);
				answers.put(id, answer);
				rig.record.line(id + " is answered: " + answer);
			}
			catch (IOException ex) {
				rig.record.line(id + " could not be sent: " + ex);
			}
		});
		rig.record.line(id + " is sent");
		client.start();
		return client;
	}

}
