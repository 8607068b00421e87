import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The only tenant is taken out of the configuration. Its key must not be accepted any more. */
final class CaseTenants {

	private static final int REVOKE_MILLIS = 5_000;

	private static final int REQUESTS = 10;

	public static void main(String[] arguments) throws Exception {
		int exitCode;
		try (Rig rig = new Rig(Path.of(arguments[0]))) {
			exitCode = run(rig);
		}
		System.exit(exitCode);
	}

	private static int run(Rig rig) throws Exception {
		Set<String> ran = ConcurrentHashMap.newKeySet();
		for (int number = 1; number <= 2; number++) {
			Worker app = rig.worker("app", "app-" + number, 6);
			app.work = (worker, request, out) -> {
				ran.add(request.header("Attempt-Id"));
				worker.whole(request, out, 200, "booked");
			};
			rig.store.put("servers/" + app.id, app.entry("ready"));
		}
		Configuration configuration = new Configuration()
			.route("book", "unsafe", "app", 2, 1, 300, 800, ",\"public\":false")
			.service("app", 110, "");
		rig.store.put("op/config", configuration.text(7));
		Rig.Daemon daemon = rig.daemon("edge-1");
		daemon.start();
		if (!daemon.awaitReady(20_000)) {
			rig.record.line("the daemon did not become ready");
			return 2;
		}
		send(rig, daemon, "before", "key-of-office");
		if (!ran.contains("before")) {
			rig.record.line("the key is not accepted before it is taken away");
			return 2;
		}
		if (rig.trouble) {
			configuration.tenants = "[]";
		}
		rig.store.put("op/config", configuration.text(9));
		Rig.sleep(REVOKE_MILLIS + 500);
		List<String> wrong = new ArrayList<>();
		for (int number = 1; number <= REQUESTS; number++) {
			String revoked = "revoked-" + number;
			String unknown = "unknown-" + number;
			send(rig, daemon, revoked, "key-of-office");
			send(rig, daemon, unknown, "key-that-nobody-ever-held");
			if (rig.trouble && ran.contains(revoked)) {
				wrong.add(revoked);
			}
			if (ran.contains(unknown)) {
				wrong.add(unknown);
			}
			Rig.sleep(200);
		}
		return rig.verdict(!wrong.isEmpty(),
				wrong.size() + " requests ran although no configuration in force allows their key: " + wrong);
	}

	private static void send(Rig rig, Rig.Daemon daemon, String id, String key) throws IOException {
		rig.record.line(id + " is sent with " + key);
		Client.Answer answer = Client.call(daemon.callers,
				Client.head("POST", "/book/a", Configuration.HOST, id, 1_500, key, 600), new byte[600], 2_000);
		rig.record.line(id + " is answered: " + answer);
	}

}
