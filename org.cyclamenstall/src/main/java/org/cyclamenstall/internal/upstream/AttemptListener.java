package org.cyclamenstall.internal.upstream;

/**
 * Is told of the progress of an attempt, always on the I/O thread of the attempt. After
 * {@link #wholeAnswer}, {@link #streamEnded} or {@link #failed} no call follows.
 */
public interface AttemptListener {

	/**
	 * Asks for leave directly before the first byte goes out.
	 * @param attempt the attempt
	 * @return {@code false} to give the attempt up; no further call follows then
	 */
	boolean beginSending(UpstreamAttempt attempt);

	/**
	 * Reports the first event of a stream; the listener may cancel the attempt.
	 * @param attempt the attempt
	 * @param head the head of the answer
	 */
	void streamStarted(UpstreamAttempt attempt, AnswerHead head);

	/**
	 * Hands over one checked event of a stream.
	 * @param attempt the attempt
	 * @param event the event
	 */
	void streamEvent(UpstreamAttempt attempt, StreamEvent event);

	/**
	 * Reports that the end mark of the stream arrived.
	 * @param attempt the attempt
	 */
	void streamEnded(UpstreamAttempt attempt);

	/**
	 * Hands over a whole answer.
	 * @param attempt the attempt
	 * @param answer the answer
	 */
	void wholeAnswer(UpstreamAttempt attempt, WholeAnswer answer);

	/**
	 * Reports that the attempt failed.
	 * @param attempt the attempt
	 * @param failure how it failed
	 * @param detail the detail for the caller
	 */
	void failed(UpstreamAttempt attempt, AttemptFailure failure, String detail);

	/**
	 * Reports the load that the upstream stated in its answer.
	 * @param attempt the attempt
	 * @param load the load
	 */
	void loadReported(UpstreamAttempt attempt, ReportedLoad load);

	/**
	 * Reports that the upstream says it takes no new work.
	 * @param attempt the attempt
	 */
	void upstreamDraining(UpstreamAttempt attempt);

}
