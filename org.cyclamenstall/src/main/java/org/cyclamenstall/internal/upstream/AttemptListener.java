package org.cyclamenstall.internal.upstream;

import java.time.Duration;

import org.cyclamenstall.internal.http.BodyBudget;

/**
 * Receives the progress of an attempt. All methods are called on the I/O thread of the
 * attempt. No call follows after {@link #onResponse}, {@link #onStreamEnded},
 * {@link #onFailed} or {@link UpstreamAttempt#cancel()}.
 */
public interface AttemptListener {

	/**
	 * Asks for permission to send, directly before the first byte is sent.
	 * @param attempt the attempt
	 * @return {@code false} to abandon the attempt; no further call follows then
	 */
	boolean beginSending(UpstreamAttempt attempt);

	/**
	 * Called before the first event of a stream. The listener may cancel the attempt.
	 * @param attempt the attempt
	 * @param responseHead the status and headers of the response
	 */
	void onStreamStarted(UpstreamAttempt attempt, ResponseHead responseHead);

	/**
	 * Called for each validated event of a stream.
	 * @param attempt the attempt
	 * @param event the event
	 */
	void onStreamEvent(UpstreamAttempt attempt, StreamEvent event);

	/**
	 * Called when a stream is complete.
	 * @param attempt the attempt
	 */
	void onStreamEnded(UpstreamAttempt attempt);

	/**
	 * Called when a buffered response is complete and validated.
	 * @param attempt the attempt
	 * @param response the response
	 * @param reservation the reservation of its memory, to be released when the response
	 * is not kept any more
	 */
	void onResponse(UpstreamAttempt attempt, BufferedResponse response, BodyBudget.Reservation reservation);

	/**
	 * Called when the upstream sent no data for the timeout.
	 * @param attempt the attempt
	 * @param detail the detail message for the caller
	 * @return {@code true} if the attempt goes on, until the next timeout; {@code false}
	 * if it fails
	 */
	boolean continuesAfterTimeout(UpstreamAttempt attempt, String detail);

	/**
	 * Called when the attempt failed.
	 * @param attempt the attempt
	 * @param failure the kind of failure
	 * @param detail the detail message for the caller
	 */
	void onFailed(UpstreamAttempt attempt, AttemptFailure failure, String detail);

	/**
	 * Called with the load that the upstream reports in its response headers.
	 * @param attempt the attempt
	 * @param load the reported load
	 */
	void onLoadReported(UpstreamAttempt attempt, ReportedLoad load);

	/**
	 * Called when the upstream states that it accepts no new work.
	 * @param attempt the attempt
	 */
	void onUpstreamDraining(UpstreamAttempt attempt);

	/**
	 * Called when the upstream states that it wants no requests for a time.
	 * @param attempt the attempt
	 * @param duration the time from now
	 */
	void onUpstreamUnavailable(UpstreamAttempt attempt, Duration duration);

}
