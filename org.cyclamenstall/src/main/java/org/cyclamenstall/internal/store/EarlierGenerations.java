package org.cyclamenstall.internal.store;

import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.store.ConditionalWrite;
import org.cyclamenstall.store.ConditionalWriteResult;
import org.cyclamenstall.store.StoreVersions;
import org.jspecify.annotations.Nullable;

/**
 * Decides which versions and leases of a store may still be used: none of an earlier
 * generation, even if the store has given out the same numbers again. Clients ask before
 * a call, and again with the generation of its response. Stateless and thread-safe.
 */
public final class EarlierGenerations {

	private EarlierGenerations() {
	}

	/**
	 * Returns whether a version or lease is of an earlier generation.
	 * @param version the version, or the identifier of the lease
	 * @param generation the generation of the store
	 * @return {@code true} if it must not be used
	 */
	public static boolean contain(long version, long generation) {
		return StoreVersions.generation(version) < generation;
	}

	/**
	 * Checks that the changes after a position can be read.
	 * @param index the position
	 * @param generation the generation of the store
	 * @throws RouterException of kind {@code STORE_HISTORY_LOST} if the position is of
	 * another generation, in which its revision may stand for another change
	 */
	public static void requireHistory(long index, long generation) {
		if (StoreVersions.generation(index) != generation) {
			throw new RouterException(ErrorKind.STORE_HISTORY_LOST, "the store was restored from an older copy");
		}
	}

	/**
	 * Returns the result of a write that rests on an earlier generation. A write that
	 * expects no record and is bound to no lease means the same in each generation.
	 * @param write the write
	 * @param generation the generation of the store
	 * @return the result, or {@code null} if the write does not rest on an earlier
	 * generation; the outcome without a lease is unknown, because a write that was sent
	 * may have been executed by accident
	 */
	public static @Nullable ConditionalWriteResult resultOf(ConditionalWrite write, long generation) {
		if (write.leaseId() != ConditionalWrite.NO_LEASE && contain(write.leaseId(), generation)) {
			return new ConditionalWriteResult.LeaseEnded();
		}
		if (write.expectedVersion() != ConditionalWrite.ABSENT && contain(write.expectedVersion(), generation)) {
			return new ConditionalWriteResult.Unknown("the expected version is of an earlier generation of the store");
		}
		return null;
	}

}
