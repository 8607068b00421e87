package org.cyclamenstall.standin.load;

import java.util.Arrays;
import java.util.concurrent.Flow;

import org.jspecify.annotations.Nullable;

/**
 * Parses the lines of a response as they are received and records the arrival time of
 * each token. Written by one thread at a time; must be read only after the response has
 * ended.
 */
final class ResponseProgress implements Flow.Subscriber<String> {

	private static final String CONTENT_FIELD = "\"content\":\"";

	private static final String END_MARKER = "data: [DONE]";

	private static final String ERROR_EVENT = "event: error";

	private static final String KIND_FIELD = "\"kind\":\"";

	private static final int INITIAL_CAPACITY = 64;

	private final long intendedNanos;

	private final long sentNanos;

	private long[] tokenNanos = new long[INITIAL_CAPACITY];

	private int tokenCount;

	private boolean endMarkerReceived;

	private boolean errorReceived;

	private @Nullable String errorKind;

	// Both times are values of System.nanoTime().
	ResponseProgress(long intendedNanos, long sentNanos) {
		this.sentNanos = sentNanos - intendedNanos;
		this.intendedNanos = intendedNanos;
	}

	@Override
	public void onSubscribe(Flow.Subscription subscription) {
		subscription.request(Long.MAX_VALUE);
	}

	@Override
	public void onNext(String line) {
		if (line.startsWith(END_MARKER)) {
			this.endMarkerReceived = true;
		}
		else if (line.startsWith(ERROR_EVENT)) {
			this.errorReceived = true;
		}
		else if (line.contains(KIND_FIELD)) {
			this.errorKind = parseErrorKind(line);
		}
		else if (line.contains(CONTENT_FIELD)) {
			recordToken();
		}
	}

	@Override
	public void onError(Throwable cause) {
		// The failure is reported through the future of the HTTP call.
	}

	@Override
	public void onComplete() {
		// Completion is reported through the future of the HTTP call.
	}

	boolean hasEndMarker() {
		return this.endMarkerReceived;
	}

	boolean hasError() {
		return this.errorReceived;
	}

	long sentNanos() {
		return this.sentNanos;
	}

	String errorKind() {
		return (this.errorKind != null) ? this.errorKind : "";
	}

	long[] tokenNanos() {
		return Arrays.copyOf(this.tokenNanos, this.tokenCount);
	}

	private void recordToken() {
		if (this.tokenCount == this.tokenNanos.length) {
			this.tokenNanos = Arrays.copyOf(this.tokenNanos, 2 * this.tokenCount);
		}
		this.tokenNanos[this.tokenCount] = System.nanoTime() - this.intendedNanos;
		this.tokenCount++;
	}

	private static String parseErrorKind(String line) {
		int start = line.indexOf(KIND_FIELD) + KIND_FIELD.length();
		int end = line.indexOf('"', start);
		return (end > start) ? line.substring(start, end) : "";
	}

}
