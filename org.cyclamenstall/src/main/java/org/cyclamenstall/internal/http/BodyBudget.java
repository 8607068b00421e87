package org.cyclamenstall.internal.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the memory that the bodies of all requests, or of all responses, take together.
 * The first part of each body is reserved apart from the rest, so that long bodies do not
 * take the short ones of others with them.
 * <p>
 * Invariant: the reserved bytes never exceed the limits. Thread-safe.
 */
public final class BodyBudget {

	/** Size of the first part of a response. */
	private static final int FIRST_RESPONSE_BYTES = 65_536;

	/** Size of the first part of a request. */
	private static final int FIRST_REQUEST_BYTES = 16_384;

	/**
	 * Share of the heap that the bodies of responses may reserve beyond their first
	 * parts. A body takes up to three times its size while its buffer grows and when it
	 * is copied at its end.
	 */
	private static final int RESPONSE_HEAP_DIVISOR = 8;

	/**
	 * Share of the heap that the bodies of requests may reserve. They are kept until
	 * their response is complete, because they may be sent again.
	 */
	private static final int REQUEST_HEAP_DIVISOR = 5;

	/**
	 * Share of the heap that the first parts of responses may reserve. They are kept
	 * until the caller has read them.
	 */
	private static final int FIRST_RESPONSE_HEAP_DIVISOR = 5;

	private final AtomicLong remainingBytes;

	private final AtomicLong remainingFirstBytes;

	private final int firstBytes;

	/**
	 * Creates a budget.
	 * @param limitBytes the number of bytes that may be reserved beyond the first parts
	 * @param firstLimitBytes the number of bytes that the first parts may reserve
	 * @param firstBytes the size of the first part of each body
	 */
	public BodyBudget(long limitBytes, long firstLimitBytes, int firstBytes) {
		this.remainingBytes = new AtomicLong(limitBytes);
		this.remainingFirstBytes = new AtomicLong(firstLimitBytes);
		this.firstBytes = firstBytes;
	}

	/**
	 * Creates a budget for the requests in the heap of this process. Their first parts
	 * are limited only by the number of connections.
	 * @return the budget
	 */
	public static BodyBudget ofRequests() {
		return new BodyBudget(Runtime.getRuntime().maxMemory() / REQUEST_HEAP_DIVISOR, Long.MAX_VALUE,
				FIRST_REQUEST_BYTES);
	}

	/**
	 * Creates a budget for the responses in the heap of this process.
	 * @return the budget
	 */
	public static BodyBudget ofResponses() {
		long heapBytes = Runtime.getRuntime().maxMemory();
		return new BodyBudget(heapBytes / RESPONSE_HEAP_DIVISOR, heapBytes / FIRST_RESPONSE_HEAP_DIVISOR,
				FIRST_RESPONSE_BYTES);
	}

	/**
	 * Returns the number of bytes that can still be reserved beyond the first parts.
	 * @return the number
	 */
	public long remainingBytes() {
		return this.remainingBytes.get();
	}

	/**
	 * Creates the reservation of an empty body.
	 * @return the reservation
	 */
	public Reservation reserve() {
		return new Reservation();
	}

	private static boolean tryTake(AtomicLong counter, long bytes) {
		long remaining = counter.get();
		while (remaining >= bytes) {
			if (counter.compareAndSet(remaining, remaining - bytes)) {
				return true;
			}
			remaining = counter.get();
		}
		return false;
	}

	/**
	 * Reservation of one body. Used on one I/O thread.
	 */
	public final class Reservation {

		private long reservedBytes;

		private long reservedFirstBytes;

		private Reservation() {
		}

		/**
		 * Grows the reservation to the size of the body.
		 * @param bodyBytes the size of the body in bytes
		 * @return {@code false} if the budget is exhausted; the body must not grow then
		 */
		public boolean tryGrow(long bodyBytes) {
			long missingFirstBytes = Math.min(bodyBytes, BodyBudget.this.firstBytes) - this.reservedFirstBytes;
			if (missingFirstBytes > 0) {
				if (!tryTake(BodyBudget.this.remainingFirstBytes, missingFirstBytes)) {
					return false;
				}
				this.reservedFirstBytes += missingFirstBytes;
			}
			long missingBytes = bodyBytes - BodyBudget.this.firstBytes - this.reservedBytes;
			if (missingBytes > 0) {
				if (!tryTake(BodyBudget.this.remainingBytes, missingBytes)) {
					return false;
				}
				this.reservedBytes += missingBytes;
			}
			return true;
		}

		/**
		 * Returns everything to the budget. Has no effect the second time.
		 */
		public void release() {
			BodyBudget.this.remainingBytes.addAndGet(this.reservedBytes);
			BodyBudget.this.remainingFirstBytes.addAndGet(this.reservedFirstBytes);
			this.reservedBytes = 0;
			this.reservedFirstBytes = 0;
		}

	}

}
