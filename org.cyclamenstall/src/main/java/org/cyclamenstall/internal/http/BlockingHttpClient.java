package org.cyclamenstall.internal.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StringWriteChannelListener;
import org.cyclamenstall.kernel.MonotonicClock;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSinkChannel;

/**
 * HTTP client for one server whose calls block until the complete response is received. A
 * call is limited by its timeout and is sent once; only a GET call on a pooled connection
 * that turns out to be closed is sent again, with its full timeout. The result states
 * whether the request may have reached the server. Thread-safe; must not be used on an
 * I/O thread.
 */
public final class BlockingHttpClient implements AutoCloseable {

	private static final int BUFFER_BYTES = 16_384;

	private static final int MAXIMUM_RESPONSE_BYTES = 64 * 1_048_576;

	/** Lowest status of a final response; those below announce one. */
	private static final int FIRST_FINAL_STATUS = 200;

	private static final long MAXIMUM_IDLE_NANOS = TimeUnit.SECONDS.toNanos(3);

	private static final long CLOSE_TIMEOUT_MILLIS = 1_000;

	private final DefaultByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);

	private final ConcurrentLinkedDeque<IdleConnection> idleConnections = new ConcurrentLinkedDeque<>();

	private final ReadTurns readTurns = new ReadTurns(MonotonicClock.SYSTEM);

	private final InetSocketAddress address;

	private final XnioWorker worker;

	/**
	 * Creates a client.
	 * @param name the name of its I/O thread
	 * @param address the address of the server
	 */
	public BlockingHttpClient(String name, InetSocketAddress address) {
		this.address = address;
		try {
			this.worker = Xnio.getInstance()
				.createWorker(OptionMap.builder()
					.set(Options.WORKER_NAME, name)
					.set(Options.WORKER_IO_THREADS, 1)
					.set(Options.WORKER_TASK_CORE_THREADS, 0)
					.set(Options.WORKER_TASK_MAX_THREADS, 1)
					.set(Options.TCP_NODELAY, true)
					.set(Options.THREAD_DAEMON, true)
					.getMap());
		}
		catch (IOException ex) {
			throw new IllegalStateException("Could not start the HTTP client " + name, ex);
		}
	}

	/**
	 * Sends a call and waits for its response.
	 * @param call the call
	 * @return the response, or the stage at which the call failed
	 */
	public HttpResponse call(HttpCall call) {
		ClientConnection pooled = pollIdle();
		if (pooled == null) {
			return callOnNewConnection(call);
		}
		CallProgress progress = new CallProgress();
		send(pooled, call, progress);
		HttpResponse response = progress.await(call.timeout().toNanos());
		if (response.state() == HttpResponseState.NO_ANSWER && call.isGet() && !progress.isTimedOut()) {
			return callOnNewConnection(call);
		}
		return response;
	}

	@Override
	public void close() {
		this.idleConnections.forEach((idle) -> IoUtils.safeClose(idle.connection()));
		this.idleConnections.clear();
		this.worker.shutdownNow();
		try {
			if (this.worker.awaitTermination(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
				this.buffers.close();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private HttpResponse callOnNewConnection(HttpCall call) {
		CallProgress progress = new CallProgress();
		URI server = URI.create("http://" + hostAndPort());
		try {
			LimitedHttpClient.connect(new Callback<>((connection) -> send(connection, call, progress), progress),
					server, this.worker.getIoThread(), this.buffers, OptionMap.EMPTY, this.readTurns);
		}
		catch (RuntimeException ex) {
			progress.fail(ex);
		}
		return progress.await(call.timeout().toNanos());
	}

	private void send(ClientConnection connection, HttpCall call, CallProgress progress) {
		if (!progress.startSending(connection)) {
			ClientConnections.abort(connection);
			return;
		}
		connection.getIoThread().execute(() -> {
			try {
				VerifiedResponseSource.of(connection).expectResponse(new HttpString(call.method()));
				connection.sendRequest(newRequest(call),
						new Callback<>((exchange) -> onSent(exchange, call, progress), progress));
			}
			catch (RuntimeException ex) {
				progress.fail(ex);
			}
		});
	}

	private void onSent(ClientExchange exchange, HttpCall call, CallProgress progress) {
		exchange.setResponseListener(
				new Callback<>((completedExchange) -> readResponse(completedExchange, progress), progress));
		if (call.body().length > 0) {
			new RequestBodyWriter(call.body(), progress).setup(exchange.getRequestChannel());
		}
		else {
			progress.markRequestSent();
		}
	}

	private void readResponse(ClientExchange exchange, CallProgress progress) {
		ClientResponse response = exchange.getResponse();
		if (response.getResponseCode() < FIRST_FINAL_STATUS) {
			// The client ends its exchange with an interim response.
			progress.fail(new ResponseSyntaxException("the response is an interim one"));
			return;
		}
		Map<String, String> headers = headers(response.getResponseHeaders());
		new BodyReader(this.buffers, MAXIMUM_RESPONSE_BYTES, (body) -> {
			VerifiedResponseSource source = VerifiedResponseSource.of(exchange.getConnection());
			if (!source.isComplete(body.length) || (source.isEndedByClose() && !progress.isRequestSent())) {
				progress.fail(new ResponseSyntaxException("the response may not be complete"));
				return;
			}
			returnToPool(exchange.getConnection(), progress);
			progress.complete(
					new HttpResponse(HttpResponseState.ANSWERED, response.getResponseCode(), headers, body, null));
		}, progress::fail).handleEvent(exchange.getResponseChannel());
	}

	private ClientRequest newRequest(HttpCall call) {
		ClientRequest request = new ClientRequest().setMethod(new HttpString(call.method())).setPath(call.path());
		HeaderMap headers = request.getRequestHeaders();
		headers.put(Headers.HOST, hostAndPort());
		call.headers().forEach((name, value) -> headers.put(new HttpString(name), value));
		if (call.body().length > 0 || !call.isGet()) {
			headers.put(Headers.CONTENT_LENGTH, call.body().length);
		}
		return request;
	}

	private String hostAndPort() {
		String host = this.address.getHostString();
		return ((host.indexOf(':') >= 0) ? "[" + host + "]" : host) + ":" + this.address.getPort();
	}

	private void returnToPool(ClientConnection connection, CallProgress progress) {
		if (connection.isOpen() && progress.isRequestSent() && VerifiedResponseSource.of(connection).isReusable()) {
			this.idleConnections.push(new IdleConnection(connection, System.nanoTime()));
		}
		else {
			ClientConnections.abort(connection);
		}
	}

	private @Nullable ClientConnection pollIdle() {
		for (IdleConnection idle = this.idleConnections.poll(); idle != null; idle = this.idleConnections.poll()) {
			if (idle.connection().isOpen() && System.nanoTime() - idle.idleSinceNanos() < MAXIMUM_IDLE_NANOS) {
				return idle.connection();
			}
			ClientConnections.abort(idle.connection());
		}
		return null;
	}

	private static Map<String, String> headers(HeaderMap headers) {
		return StreamSupport.stream(headers.spliterator(), false)
			.collect(
					Collectors.toUnmodifiableMap((values) -> values.getHeaderName().toString().toLowerCase(Locale.ROOT),
							(values) -> values.getFirst()));
	}

	private record IdleConnection(ClientConnection connection, long idleSinceNanos) {

	}

	/**
	 * Writes the body of a request and notes when it is sent completely. Used on the I/O
	 * thread.
	 */
	private static final class RequestBodyWriter extends StringWriteChannelListener {

		private final CallProgress progress;

		RequestBodyWriter(byte[] body, CallProgress progress) {
			// ISO-8859-1 maps each byte to one character, so the bytes are unchanged.
			super(new String(body, StandardCharsets.ISO_8859_1), StandardCharsets.ISO_8859_1);
			this.progress = progress;
		}

		@Override
		protected void writeDone(StreamSinkChannel channel) {
			this.progress.markRequestSent();
			super.writeDone(channel);
		}

	}

	private record Callback<T>(Consumer<T> onCompleted, CallProgress progress) implements ClientCallback<T> {

		@Override
		public void completed(T result) {
			this.onCompleted.accept(result);
		}

		@Override
		public void failed(IOException ex) {
			this.progress.fail(ex);
		}

	}

}
