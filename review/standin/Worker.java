import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A worker that runs as many requests at once as it has slots and queues the others. How
 * it runs one is set by the case.
 */
final class Worker extends Server {

	/** Runs a request whose turn has come, and writes its answer. */
	interface Work {

		void run(Worker worker, Http.Message request, OutputStream out) throws IOException;

	}

	final String service;

	final String id;

	final int slotCount;

	volatile Work work = (worker, request, out) -> worker.whole(request, out, 200, "answer of " + worker.id);

	final ThreadLocal<Boolean> rst = ThreadLocal.withInitial(() -> false);

	volatile Consumer<String> onReceive = (attempt) -> {
	};

	private final Semaphore slots;

	private final Rig.Record record;

	private final long born = System.currentTimeMillis();

	Worker(String address, String service, String id, int slots, Rig.Record record) throws IOException {
		super(address);
		this.service = service;
		this.id = id;
		this.slotCount = slots;
		this.slots = new Semaphore(slots, true);
		this.record = record;
	}

	String entry(String state) {
		return "{\"service\":\"" + this.service + "\",\"address\":\"" + address()
				+ "\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":" + this.slotCount + ",\"state\":\"" + state
				+ "\",\"cold_left_ms\":0,\"seq\":1,\"born\":" + this.born + "}";
	}

	@Override
	boolean answer(Http.Message request, OutputStream out, Socket connection) throws IOException {
		String attempt = request.header("Attempt-Id");
		if (!this.id.equals(request.header("Expected-Instance"))) {
			write(out, "HTTP/1.1 421 M\r\nAttempt-Id: " + attempt
					+ "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
			return true;
		}
		this.record.line(this.id + " receives " + attempt);
		this.onReceive.accept(attempt);
		long waitMillis = Long.parseLong(request.header("Deadline-Ms"));
		try {
			if (!this.slots.tryAcquire(waitMillis, TimeUnit.MILLISECONDS)) {
				write(out, "HTTP/1.1 503 F\r\nAttempt-Id: " + attempt
						+ "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
				this.record.line(this.id + " rejects " + attempt);
				return true;
			}
		}
		catch (InterruptedException ex) {
			return false;
		}
		try {
			this.record.line(this.id + " runs " + attempt + " (tenant " + request.header("Tenant") + ")");
			this.work.run(this, request, out);
			this.record.line(this.id + " has run " + attempt);
			return true;
		}
		catch (IOException ex) {
			if (this.rst.get()) {
				connection.setSoLinger(true, 0);
			}
			throw ex;
		}
		finally {
			this.slots.release();
		}
	}

	void whole(Http.Message request, OutputStream out, int status, String body) throws IOException {
		write(out, "HTTP/1.1 " + status + " A\r\nAttempt-Id: " + request.header("Attempt-Id")
				+ "\r\nResponse-Signature: s-" + this.id + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
	}

	/** Streams events with a fixed time before each one. */
	void stream(Http.Message request, OutputStream out, int events, long firstMillis, long gapMillis)
			throws IOException {
		Rig.sleep(firstMillis);
		write(out, "HTTP/1.1 200 A\r\nAttempt-Id: " + request.header("Attempt-Id") + "\r\nResponse-Signature: s-"
				+ this.id + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
		for (int event = 1; event <= events; event++) {
			if (event > 1) {
				Rig.sleep(gapMillis);
			}
			String text = "id: " + event + "\ndata: piece " + event + "\n\n";
			write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
		}
		write(out, "0\r\n\r\n");
	}

	static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

}
