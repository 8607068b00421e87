package org.cyclamenstall.standin.faultproxy;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Pattern;

/**
 * Rule for injecting one fault; counts how often it was applied. A rule matches bytes in
 * one direction and may be limited to connections whose latest request matches an
 * expression, to bytes that match an expression, and to bytes beyond an offset.
 * Thread-safe.
 */
public final class FaultRule {

	private final Direction direction;

	private final FaultAction action;

	private final Pattern requestPattern;

	private final Pattern chunkPattern;

	private final int afterBytes;

	private final int maximumHits;

	private final Duration delay;

	private final AtomicInteger hits = new AtomicInteger();

	private final CountDownLatch firstHit = new CountDownLatch(1);

	private final CountDownLatch released = new CountDownLatch(1);

	private volatile boolean dropping;

	private FaultRule(Builder builder) {
		this.direction = builder.direction;
		this.action = builder.action;
		this.requestPattern = Pattern.compile(builder.requestExpression);
		this.chunkPattern = Pattern.compile(builder.chunkExpression);
		this.afterBytes = builder.afterBytes;
		this.maximumHits = builder.maximumHits;
		this.delay = builder.delay;
	}

	/**
	 * Creates a builder of a rule.
	 * @param direction the direction of the matched bytes
	 * @param action the action on the matched bytes
	 * @return a new builder
	 */
	public static Builder on(Direction direction, FaultAction action) {
		return new Builder(direction, action);
	}

	/**
	 * Returns the direction of the matched bytes.
	 * @return the direction
	 */
	public Direction direction() {
		return this.direction;
	}

	/**
	 * Waits until the rule was applied for the first time.
	 * @param timeout the maximum wait time
	 * @return {@code false} if the wait timed out or was interrupted
	 */
	public boolean awaitHit(Duration timeout) {
		try {
			return this.firstHit.await(timeout.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	/**
	 * Returns how often the rule was applied.
	 * @return the number of hits, never more than the maximum of the rule
	 */
	public int hits() {
		return Math.min(this.hits.get(), this.maximumHits);
	}

	/**
	 * Forwards the bytes held by {@link FaultAction#HOLD} and stops holding later ones.
	 */
	public void release() {
		this.released.countDown();
	}

	/**
	 * Drops the bytes held by {@link FaultAction#HOLD} and all later bytes to which the
	 * rule is applied.
	 */
	public void drop() {
		this.dropping = true;
		this.released.countDown();
	}

	boolean isDropping() {
		return this.dropping;
	}

	FaultAction action() {
		return this.action;
	}

	Duration delay() {
		return this.delay;
	}

	int afterBytes() {
		return this.afterBytes;
	}

	boolean matches(Direction chunkDirection, String requestText, String chunk, long offset, int length) {
		return this.direction == chunkDirection && this.requestPattern.matcher(requestText).find()
				&& this.chunkPattern.matcher(chunk).find() && offset + length > this.afterBytes;
	}

	boolean tryRecordHit() {
		if (this.hits.incrementAndGet() > this.maximumHits) {
			return false;
		}
		this.firstHit.countDown();
		return true;
	}

	void awaitRelease() throws InterruptedException {
		this.released.await();
	}

	/**
	 * Builds a {@link FaultRule}. Not thread-safe.
	 */
	public static final class Builder {

		private final Direction direction;

		private final FaultAction action;

		private String requestExpression = "";

		private String chunkExpression = "";

		private int afterBytes;

		private int maximumHits = Integer.MAX_VALUE;

		private Duration delay = Duration.ZERO;

		private Builder(Direction direction, FaultAction action) {
			this.direction = direction;
			this.action = action;
		}

		/**
		 * Limits the rule to connections whose latest request contains a match of a
		 * regular expression.
		 * @param expression the regular expression
		 * @return this builder
		 */
		public Builder requestMatching(String expression) {
			this.requestExpression = expression;
			return this;
		}

		/**
		 * Limits the rule to chunks of bytes that contain a match of a regular
		 * expression.
		 * @param expression the regular expression
		 * @return this builder
		 */
		public Builder bytesContaining(String expression) {
			this.chunkExpression = expression;
			return this;
		}

		/**
		 * Forwards a number of bytes before the rule applies. The count restarts with
		 * each request.
		 * @param forwardedBytes the number of bytes to forward
		 * @return this builder
		 */
		public Builder afterBytes(int forwardedBytes) {
			this.afterBytes = forwardedBytes;
			return this;
		}

		/**
		 * Limits how often the rule is applied.
		 * @param maximum the maximum number of hits
		 * @return this builder
		 */
		public Builder times(int maximum) {
			this.maximumHits = maximum;
			return this;
		}

		/**
		 * Sets the delay of {@link FaultAction#DELAY}.
		 * @param duration the delay
		 * @return this builder
		 */
		public Builder delayedBy(Duration duration) {
			this.delay = duration;
			return this;
		}

		/**
		 * Builds the rule.
		 * @return the rule
		 */
		public FaultRule build() {
			return new FaultRule(this);
		}

	}

}
