package org.cyclamenstall.internal.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;

import io.undertow.client.ClientConnection;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;

/**
 * State of one call, from connecting to its response. The transition from connecting to
 * sending happens at most once, so a call that is abandoned while connecting is never
 * sent. Thread-safe.
 */
final class CallProgress {

	private enum Stage {

		CONNECTING, SENDING, ABANDONED

	}

	private final AtomicReference<Stage> stage = new AtomicReference<>(Stage.CONNECTING);

	private final CompletableFuture<HttpResponse> response = new CompletableFuture<>();

	private volatile @Nullable ClientConnection connection;

	private volatile boolean timedOut;

	private volatile boolean requestSent;

	/**
	 * Moves the call from connecting to sending.
	 * @param usedConnection the connection of the call
	 * @return {@code false} if the call was abandoned before
	 */
	boolean startSending(ClientConnection usedConnection) {
		this.connection = usedConnection;
		return this.stage.compareAndSet(Stage.CONNECTING, Stage.SENDING);
	}

	void complete(HttpResponse result) {
		this.response.complete(result);
	}

	/**
	 * Ends the call with a failure, unless its result is already set, and closes its
	 * connection. A call that fails while connecting is never sent.
	 * @param cause the cause of the failure
	 */
	void fail(Exception cause) {
		this.response.complete(HttpResponse.failed(failureState(), describe(cause)));
		close();
	}

	/**
	 * Notes that the whole request was written.
	 */
	void markRequestSent() {
		this.requestSent = true;
	}

	boolean isRequestSent() {
		return this.requestSent;
	}

	boolean isTimedOut() {
		return this.timedOut;
	}

	/**
	 * Waits for the response and abandons the call on a timeout or interrupt.
	 * @param nanos the maximum time to wait, in nanoseconds
	 * @return the response or the failure
	 */
	HttpResponse await(long nanos) {
		try {
			return this.response.get(nanos, TimeUnit.NANOSECONDS);
		}
		catch (TimeoutException ex) {
			this.timedOut = true;
			return abandon("no answer in time");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return abandon("interrupted");
		}
		catch (ExecutionException ex) {
			return abandon(describe(ex));
		}
	}

	private HttpResponse abandon(String detail) {
		this.response.complete(HttpResponse.failed(failureState(), detail));
		close();
		return this.response.join();
	}

	private HttpResponseState failureState() {
		this.stage.compareAndSet(Stage.CONNECTING, Stage.ABANDONED);
		return (this.stage.get() == Stage.ABANDONED) ? HttpResponseState.NOT_SENT : HttpResponseState.NO_ANSWER;
	}

	private void close() {
		ClientConnection current = this.connection;
		if (current == null) {
			return;
		}
		try {
			current.getIoThread().execute(() -> ClientConnections.abort(current));
		}
		catch (RejectedExecutionException ex) {
			IoUtils.safeClose(current);
		}
	}

	private static String describe(Exception cause) {
		return cause.getClass().getSimpleName() + ": " + cause.getMessage();
	}

}
