import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: range reads and watches as PROTOCOL.md describes them. */
final class Store extends Server {

	private final TreeMap<String, String> items = new TreeMap<>();

	private final List<String[]> history = new ArrayList<>();

	private final Rig.Record record;

	private long revision = 100;

	private long cuts;

	Store(String address, Rig.Record record) throws IOException {
		super(address);
		this.record = record;
	}

	synchronized void put(String key, String value) {
		this.revision++;
		String item = "{\"key\":\"" + key + "\",\"value\":\""
				+ Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)) + "\",\"revision\":"
				+ this.revision + ",\"created\":" + this.revision + ",\"lease_id\":0}";
		this.items.put(key, item);
		this.history.add(new String[] { key, String.valueOf(this.revision), item });
		this.record.line("store acknowledged " + key + " at revision " + this.revision);
		notifyAll();
	}

	synchronized void remove(String key) {
		this.revision++;
		this.items.remove(key);
		this.history.add(new String[] { key, String.valueOf(this.revision),
				"{\"key\":\"" + key + "\",\"revision\":" + this.revision + ",\"compacted\":true}" });
		this.record.line("store removed " + key + " at revision " + this.revision);
		notifyAll();
	}

	/** Cuts the watches that are waiting. */
	synchronized void cutWatches() {
		this.cuts++;
		notifyAll();
	}

	@Override
	boolean answer(Http.Message request, OutputStream out, Socket connection) throws IOException {
		String target = request.firstLine.split(" ")[1];
		Map<String, String> query = new HashMap<>();
		if (target.contains("?")) {
			for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
				int equals = pair.indexOf('=');
				query.put(pair.substring(0, equals),
						URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
			}
		}
		String prefix = query.getOrDefault("path_prefix", "");
		String body;
		if (target.startsWith("/api/kv-range")) {
			body = range(prefix, query.getOrDefault("after", ""));
		}
		else if (target.startsWith("/api/kv-watch")) {
			body = watch(prefix, Long.parseLong(query.get("after")), Long.parseLong(query.get("wait_ms")));
			if (body == null) {
				return false;
			}
		}
		else {
			write(out, 404, "{}");
			return true;
		}
		write(out, 200, body);
		return true;
	}

	private synchronized String range(String prefix, String after) {
		List<String> found = new ArrayList<>();
		this.items.tailMap(after, false).forEach((key, item) -> {
			if (key.startsWith(prefix)) {
				found.add(item);
			}
		});
		return "{\"items\":[" + String.join(",", found) + "],\"has_more\":false,\"at\":" + this.revision + "}";
	}

	private synchronized String watch(String prefix, long after, long waitMillis) {
		long end = System.nanoTime() + waitMillis * 1_000_000;
		long cutsBefore = this.cuts;
		while (true) {
			List<String> found = new ArrayList<>();
			for (String[] event : this.history) {
				if (Long.parseLong(event[1]) > after && event[0].startsWith(prefix)) {
					found.add(event[2]);
				}
			}
			long left = (end - System.nanoTime()) / 1_000_000;
			if (!found.isEmpty() || left <= 0) {
				return "{\"events\":[" + String.join(",", found) + "],\"at\":" + this.revision + "}";
			}
			if (this.cuts != cutsBefore) {
				this.record.line("store cut a waiting watch");
				return null;
			}
			try {
				wait(left);
			}
			catch (InterruptedException ex) {
				return null;
			}
		}
	}

	private static void write(OutputStream out, int status, String body) throws IOException {
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		out.write(("HTTP/1.1 " + status + " S\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length
				+ "\r\n\r\n")
			.getBytes(StandardCharsets.US_ASCII));
		out.write(bytes);
		out.flush();
	}

}
