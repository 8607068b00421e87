package org.cyclamenstall.standin.load;

import java.util.Arrays;
import java.util.concurrent.Flow;

import org.jspecify.annotations.Nullable;

/**
 * Reads the lines of an answer as they come and notes the time of each token. Written by
 * one thread at a time; read after the answer ended.
 */
final class AnswerProgress implements Flow.Subscriber<String> {

	private static final String TOKEN = "\"content\":\"";

	private static final String END_MARK = "data: [DONE]";

	private static final String ERROR_EVENT = "event: error";

	private static final String KIND = "\"kind\":\"";

	private static final int FIRST_CAPACITY = 64;

	private final long intendedNanos;

	private final long sentNanos;

	private long[] tokenNanos = new long[FIRST_CAPACITY];

	private int tokens;

	private boolean ended;

	private boolean failed;

	private @Nullable String errorKind;

	AnswerProgress(long intendedNanos, long sentNanos) {
		this.sentNanos = sentNanos - intendedNanos;
		this.intendedNanos = intendedNanos;
	}

	@Override
	public void onSubscribe(Flow.Subscription subscription) {
		subscription.request(Long.MAX_VALUE);
	}

	@Override
	public void onNext(String line) {
		if (line.startsWith(END_MARK)) {
			this.ended = true;
		}
		else if (line.startsWith(ERROR_EVENT)) {
			this.failed = true;
		}
		else if (line.contains(KIND)) {
			this.errorKind = kindIn(line);
		}
		else if (line.contains(TOKEN)) {
			addToken();
		}
	}

	@Override
	public void onError(Throwable cause) {
		// The failure of the whole call is reported to its future.
	}

	@Override
	public void onComplete() {
		// The end of the whole call is reported to its future.
	}

	boolean hasEndMark() {
		return this.ended;
	}

	boolean hasError() {
		return this.failed;
	}

	long sentNanos() {
		return this.sentNanos;
	}

	String errorKind() {
		return (this.errorKind != null) ? this.errorKind : "";
	}

	long[] tokenNanos() {
		return Arrays.copyOf(this.tokenNanos, this.tokens);
	}

	private void addToken() {
		if (this.tokens == this.tokenNanos.length) {
			this.tokenNanos = Arrays.copyOf(this.tokenNanos, 2 * this.tokens);
		}
		this.tokenNanos[this.tokens] = System.nanoTime() - this.intendedNanos;
		this.tokens++;
	}

	private static String kindIn(String line) {
		int start = line.indexOf(KIND) + KIND.length();
		int end = line.indexOf('"', start);
		return (end > start) ? line.substring(start, end) : "";
	}

}
