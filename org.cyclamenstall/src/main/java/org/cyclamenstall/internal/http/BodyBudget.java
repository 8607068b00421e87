package org.cyclamenstall.internal.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the memory that the bodies of all requests, or of all responses, take together.
 * Each body has a small part for free, so that long bodies do not take the short ones of
 * others with them; what a body needs beyond that is reserved.
 * <p>
 * Invariant: the reserved bytes never exceed the limit. Thread-safe.
 */
public final class BodyBudget {

	/** Bytes of each response that need no reservation. */
	private static final int FREE_RESPONSE_BYTES = 65_536;

	/** Bytes of each request that need no reservation. */
	private static final int FREE_REQUEST_BYTES = 16_384;

	/**
	 * Share of the heap that the bodies of responses may reserve. A body takes up to
	 * three times its size while its buffer grows and when it is copied at its end.
	 */
	private static final int RESPONSE_HEAP_DIVISOR = 8;

	/**
	 * Share of the heap that the bodies of requests may reserve. They are kept until
	 * their response is complete, because they may be sent again.
	 */
	private static final int REQUEST_HEAP_DIVISOR = 5;

	private final AtomicLong remainingBytes;

	private final int freeBytes;

	/**
	 * Creates a budget.
	 * @param limitBytes the number of bytes that may be reserved
	 * @param freeBytes the number of bytes of each body that need no reservation
	 */
	public BodyBudget(long limitBytes, int freeBytes) {
		this.remainingBytes = new AtomicLong(limitBytes);
		this.freeBytes = freeBytes;
	}

	/**
	 * Creates a budget for the requests in the heap of this process.
	 * @return the budget
	 */
	public static BodyBudget ofRequests() {
		return new BodyBudget(Runtime.getRuntime().maxMemory() / REQUEST_HEAP_DIVISOR, FREE_REQUEST_BYTES);
	}

	/**
	 * Creates a budget for the responses in the heap of this process.
	 * @return the budget
	 */
	public static BodyBudget ofResponses() {
		return new BodyBudget(Runtime.getRuntime().maxMemory() / RESPONSE_HEAP_DIVISOR, FREE_RESPONSE_BYTES);
	}

	/**
	 * Returns the number of bytes that can still be reserved.
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

	private boolean tryTake(long bytes) {
		long remaining = this.remainingBytes.get();
		while (remaining >= bytes) {
			if (this.remainingBytes.compareAndSet(remaining, remaining - bytes)) {
				return true;
			}
			remaining = this.remainingBytes.get();
		}
		return false;
	}

	/**
	 * Reservation of one body. Used on one I/O thread.
	 */
	public final class Reservation {

		private long reservedBytes;

		private Reservation() {
		}

		/**
		 * Grows the reservation to the size of the body.
		 * @param bodyBytes the size of the body in bytes
		 * @return {@code false} if the budget is exhausted; the reservation is unchanged
		 */
		public boolean tryGrow(long bodyBytes) {
			long missingBytes = bodyBytes - BodyBudget.this.freeBytes - this.reservedBytes;
			if (missingBytes <= 0) {
				return true;
			}
			if (!tryTake(missingBytes)) {
				return false;
			}
			this.reservedBytes += missingBytes;
			return true;
		}

		/**
		 * Returns everything to the budget. Has no effect the second time.
		 */
		public void release() {
			BodyBudget.this.remainingBytes.addAndGet(this.reservedBytes);
			this.reservedBytes = 0;
		}

	}

}
