package org.cyclamenstall.standin.faultproxy;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Pattern;

/**
 * Describes one fault and counts how often it was brought about. A rule applies to the
 * bytes of one direction, of all connections or of those whose latest request matches an
 * expression, from a number of bytes on. Thread-safe.
 */
public final class FaultRule {

	private final Direction direction;

	private final FaultAction action;

	private final Pattern request;

	private final Pattern bytes;

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
		this.request = Pattern.compile(builder.request);
		this.bytes = Pattern.compile(builder.bytes);
		this.afterBytes = builder.afterBytes;
		this.maximumHits = builder.maximumHits;
		this.delay = builder.delay;
	}

	/**
	 * Starts the description of a rule.
	 * @param direction the direction of the bytes
	 * @param action what happens to them
	 * @return a builder
	 */
	public static Builder on(Direction direction, FaultAction action) {
		return new Builder(direction, action);
	}

	/**
	 * Returns the direction of the bytes.
	 * @return the direction
	 */
	public Direction direction() {
		return this.direction;
	}

	/**
	 * Waits until the fault was brought about once.
	 * @param limit the longest wait
	 * @return {@code false} if the wait ended first
	 */
	public boolean awaitHit(Duration limit) {
		try {
			return this.firstHit.await(limit.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	/**
	 * Returns how often the fault was brought about.
	 * @return the count
	 */
	public int hits() {
		return Math.min(this.hits.get(), this.maximumHits);
	}

	/**
	 * Lets held bytes go on, now and later.
	 */
	public void release() {
		this.released.countDown();
	}

	/**
	 * Drops held bytes, and all that follow in this direction.
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

	boolean concerns(Direction bytesDirection, String text, String chunk, long answeredBytes, int length) {
		return this.direction == bytesDirection && this.request.matcher(text).find() && this.bytes.matcher(chunk).find()
				&& answeredBytes + length > this.afterBytes;
	}

	boolean hit() {
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

		private String request = "";

		private String bytes = "";

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
		 * @param expression the expression
		 * @return this builder
		 */
		public Builder matching(String expression) {
			this.request = expression;
			return this;
		}

		/**
		 * Limits the rule to bytes that contain a match of a regular expression.
		 * @param expression the expression
		 * @return this builder
		 */
		public Builder containing(String expression) {
			this.bytes = expression;
			return this;
		}

		/**
		 * Lets a number of bytes of the direction pass first; they are counted anew from
		 * each request.
		 * @param bytes the number of bytes
		 * @return this builder
		 */
		public Builder afterBytes(int bytes) {
			this.afterBytes = bytes;
			return this;
		}

		/**
		 * Bounds how often the fault is brought about.
		 * @param times the largest number
		 * @return this builder
		 */
		public Builder times(int times) {
			this.maximumHits = times;
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
