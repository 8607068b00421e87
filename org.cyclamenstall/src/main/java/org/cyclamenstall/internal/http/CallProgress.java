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
 * Follows one call from connecting to its answer. The step from connecting to sending is
 * taken once, so that a call that was given up while connecting is never sent.
 * Thread-safe.
 */
final class CallProgress {

	private enum Stage {

		CONNECTING, SENDING, ABANDONED

	}

	private final AtomicReference<Stage> stage = new AtomicReference<>(Stage.CONNECTING);

	private final CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();

	private volatile @Nullable ClientConnection connection;

	private volatile boolean timedOut;

	/**
	 * Takes the step to sending.
	 * @param usedConnection the connection that the call goes over
	 * @return {@code false} if the call was given up before
	 */
	boolean startSending(ClientConnection usedConnection) {
		this.connection = usedConnection;
		return this.stage.compareAndSet(Stage.CONNECTING, Stage.SENDING);
	}

	void complete(HttpAnswer received) {
		this.answer.complete(received);
	}

	void fail(Exception cause) {
		this.answer.complete(HttpAnswer.failed(failureState(), describe(cause)));
		close();
	}

	boolean isTimedOut() {
		return this.timedOut;
	}

	/**
	 * Waits for the answer and gives the call up when the time has passed.
	 * @param nanos the longest wait, in nanoseconds
	 * @return the answer or the failure
	 */
	HttpAnswer await(long nanos) {
		try {
			return this.answer.get(nanos, TimeUnit.NANOSECONDS);
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

	private HttpAnswer abandon(String detail) {
		this.answer.complete(HttpAnswer.failed(failureState(), detail));
		close();
		return this.answer.join();
	}

	private HttpAnswerState failureState() {
		this.stage.compareAndSet(Stage.CONNECTING, Stage.ABANDONED);
		return (this.stage.get() == Stage.ABANDONED) ? HttpAnswerState.NOT_SENT : HttpAnswerState.NO_ANSWER;
	}

	private void close() {
		ClientConnection used = this.connection;
		if (used == null) {
			return;
		}
		try {
			used.getIoThread().execute(() -> IoUtils.safeClose(used));
		}
		catch (RejectedExecutionException ex) {
			IoUtils.safeClose(used);
		}
	}

	private static String describe(Exception cause) {
		return cause.getClass().getSimpleName() + ": " + cause.getMessage();
	}

}
