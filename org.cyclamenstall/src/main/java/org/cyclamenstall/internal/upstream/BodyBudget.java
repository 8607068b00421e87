package org.cyclamenstall.internal.upstream;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the memory that the bodies of all buffered responses take together. Each
 * response has a small part for free, so that long bodies of some upstreams do not take
 * the short responses of others with them; what a body needs beyond that is reserved.
 * <p>
 * Invariant: the reserved bytes never exceed the limit. Thread-safe.
 */
final class BodyBudget {

	/** Bytes of each response that need no reservation. */
	private static final int FREE_BYTES = 65_536;

	/**
	 * Share of the heap that may be reserved. A body takes up to three times its size
	 * while its buffer grows and when it is copied at its end.
	 */
	private static final int HEAP_DIVISOR = 8;

	private final AtomicLong remainingBytes;

	/**
	 * Creates a budget.
	 * @param limitBytes the number of bytes that may be reserved
	 */
	BodyBudget(long limitBytes) {
		this.remainingBytes = new AtomicLong(limitBytes);
	}

	/**
	 * Creates a budget for the heap of this process.
	 * @return the budget
	 */
	static BodyBudget ofHeap() {
		return new BodyBudget(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
	}

	/**
	 * Creates the reservation of one response, for an empty body.
	 * @return the reservation
	 */
	Reservation reserve() {
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
	 * Reservation of one response. Used on one I/O thread.
	 */
	final class Reservation {

		private long reservedBytes;

		/**
		 * Grows the reservation to the size of the body.
		 * @param bodyBytes the size of the body in bytes
		 * @return {@code false} if the budget is exhausted; the reservation is unchanged
		 */
		boolean tryGrow(long bodyBytes) {
			long missingBytes = bodyBytes - FREE_BYTES - this.reservedBytes;
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
		void release() {
			BodyBudget.this.remainingBytes.addAndGet(this.reservedBytes);
			this.reservedBytes = 0;
		}

	}

}
