package org.cyclamenstall.junit;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.errors.RouterException;
import org.cyclamenstall.store.ConfigurationStore;
import org.cyclamenstall.store.StoreListing;
import org.cyclamenstall.store.StorePriority;
import org.cyclamenstall.store.StoreRecord;
import org.cyclamenstall.store.WriteResult;
import org.jspecify.annotations.Nullable;

/**
 * Implements a configuration store that keeps its records in memory and can inject faults
 * into calls. The fault of a call is taken from the first of these that yields one: the
 * fault queue of its operation, the fault plan, and the persistent fault of its
 * operation. Versions increase with every write of any record and are never reused, even
 * after {@link #restore}. Thread-safe. The hooks run outside the lock and may call the
 * store.
 */
public final class InMemoryConfigurationStore implements ConfigurationStore {

	private final Map<String, StoreRecord> records = new TreeMap<>();

	private final Map<StoreOperation, Deque<StoreFault>> queuedFaults = new EnumMap<>(StoreOperation.class);

	private final Map<StoreOperation, StoreFault> persistentFaults = new EnumMap<>(StoreOperation.class);

	private final List<Supplier<WriteResult>> delayedWrites = new ArrayList<>();

	private final List<StoreCall> calls = new ArrayList<>();

	private Function<StoreCall, StoreFault> faultPlan = (call) -> StoreFault.NONE;

	private Consumer<StoreCall> beforeOperationHook = (call) -> {
	};

	private Consumer<StoreCall> afterOperationHook = (call) -> {
	};

	private long lastIndex;

	@Override
	public Optional<StoreRecord> get(String key, StorePriority priority) {
		return read(StoreOperation.GET, key, () -> Optional.ofNullable(this.records.get(key)));
	}

	@Override
	public StoreListing list(String prefix, StorePriority priority) {
		return read(StoreOperation.LIST, prefix, () -> listRecords(prefix));
	}

	@Override
	public StoreListing waitForChange(String prefix, long index, Duration wait) {
		return read(StoreOperation.WAIT, prefix, () -> awaitChange(prefix, index, wait));
	}

	@Override
	public WriteResult createIfAbsent(String key, byte[] value, StorePriority priority) {
		return write(StoreOperation.CREATE, key, () -> apply(key, value.clone(), 0));
	}

	@Override
	public WriteResult compareAndSwap(String key, byte[] value, long version, StorePriority priority) {
		return write(StoreOperation.SWAP, key,
				() -> (version > 0) ? apply(key, value.clone(), version) : WriteResult.CONFLICT);
	}

	@Override
	public WriteResult compareAndDelete(String key, long version, StorePriority priority) {
		return write(StoreOperation.DELETE, key,
				() -> (version > 0) ? apply(key, null, version) : WriteResult.CONFLICT);
	}

	/**
	 * Queues a fault for one call of an operation. Queued faults apply to successive
	 * calls in the order in which they were queued.
	 * @param operation the operation
	 * @param fault the fault, or {@link StoreFault#NONE} for a call without fault
	 */
	public synchronized void queueFault(StoreOperation operation, StoreFault fault) {
		this.queuedFaults.computeIfAbsent(operation, (absent) -> new ArrayDeque<>()).add(fault);
	}

	/**
	 * Sets the persistent fault of an operation, which applies to every call until it is
	 * changed.
	 * @param operation the operation
	 * @param fault the fault, or {@link StoreFault#NONE} for a call without fault
	 */
	public synchronized void setFault(StoreOperation operation, StoreFault fault) {
		this.persistentFaults.put(operation, fault);
	}

	/**
	 * Sets the persistent fault of all operations.
	 * @param fault the fault, or {@link StoreFault#NONE} for a call without fault
	 */
	public synchronized void setFault(StoreFault fault) {
		for (StoreOperation operation : StoreOperation.values()) {
			setFault(operation, fault);
		}
	}

	/**
	 * Sets the fault plan, which is consulted for each call without a queued fault.
	 * @param faultPlan returns the fault of a call, or {@link StoreFault#NONE} to fall
	 * back to the persistent fault
	 */
	public synchronized void setFaultPlan(Function<StoreCall, StoreFault> faultPlan) {
		this.faultPlan = faultPlan;
	}

	/**
	 * Sets the hook that runs before a call reads or changes the records.
	 * @param hook the hook, which may block
	 */
	public synchronized void setBeforeOperationHook(Consumer<StoreCall> hook) {
		this.beforeOperationHook = hook;
	}

	/**
	 * Sets the hook that runs after a call has read or changed the records and before it
	 * returns.
	 * @param hook the hook, which may block
	 */
	public synchronized void setAfterOperationHook(Consumer<StoreCall> hook) {
		this.afterOperationHook = hook;
	}

	/**
	 * Applies the writes that were delayed by {@link StoreFault#WRITE_DELAYED}, in the
	 * order of their calls.
	 */
	public synchronized void applyDelayedWrites() {
		this.delayedWrites.forEach(Supplier::get);
		this.delayedWrites.clear();
	}

	/**
	 * Returns all calls since the store was created.
	 * @return the calls, in order
	 */
	public synchronized List<StoreCall> calls() {
		return List.copyOf(this.calls);
	}

	/**
	 * Returns all records. Neither injects a fault nor records a call.
	 * @return the records, ordered by key
	 */
	public synchronized List<StoreRecord> snapshot() {
		return List.copyOf(this.records.values());
	}

	/**
	 * Replaces all records by an older snapshot, as a restore from a backup does. The
	 * restored records get new versions.
	 * @param olderRecords the records returned by an earlier call of {@link #snapshot()}
	 */
	public synchronized void restore(List<StoreRecord> olderRecords) {
		this.records.clear();
		olderRecords.forEach((record) -> apply(record.key(), record.value(), 0));
		this.lastIndex++;
		notifyAll();
	}

	private <T> T read(StoreOperation operation, String key, Supplier<T> reader) {
		StoreCall call = recordCall(operation, key);
		StoreFault fault = nextFault(call);
		getHook(true).accept(call);
		if (fault != StoreFault.NONE && fault != StoreFault.CONFLICT) {
			throw new RouterException(ErrorKind.STORE_UNAVAILABLE, "injected fault " + fault + " on " + operation);
		}
		T result;
		synchronized (this) {
			result = reader.get();
		}
		getHook(false).accept(call);
		return result;
	}

	private WriteResult write(StoreOperation operation, String key, Supplier<WriteResult> writer) {
		StoreCall call = recordCall(operation, key);
		StoreFault fault = nextFault(call);
		getHook(true).accept(call);
		WriteResult result = applyWithFault(fault, writer);
		getHook(false).accept(call);
		return result;
	}

	private synchronized WriteResult applyWithFault(StoreFault fault, Supplier<WriteResult> writer) {
		switch (fault) {
			case UNAVAILABLE -> {
				return WriteResult.NOT_SENT;
			}
			case REQUEST_LOST -> {
				return WriteResult.UNKNOWN;
			}
			case RESPONSE_LOST -> {
				writer.get();
				return WriteResult.UNKNOWN;
			}
			case WRITE_DELAYED -> {
				this.delayedWrites.add(writer);
				return WriteResult.UNKNOWN;
			}
			case CONFLICT -> {
				return WriteResult.CONFLICT;
			}
			default -> {
				return writer.get();
			}
		}
	}

	private synchronized StoreCall recordCall(StoreOperation operation, String key) {
		StoreCall call = new StoreCall(operation, key, this.calls.size() + 1L);
		this.calls.add(call);
		return call;
	}

	private synchronized StoreFault nextFault(StoreCall call) {
		Deque<StoreFault> queue = this.queuedFaults.get(call.operation());
		StoreFault queued = (queue != null) ? queue.poll() : null;
		if (queued != null) {
			return queued;
		}
		StoreFault planned = this.faultPlan.apply(call);
		return (planned != StoreFault.NONE) ? planned
				: this.persistentFaults.getOrDefault(call.operation(), StoreFault.NONE);
	}

	private synchronized Consumer<StoreCall> getHook(boolean before) {
		return before ? this.beforeOperationHook : this.afterOperationHook;
	}

	private synchronized StoreListing listRecords(String prefix) {
		List<StoreRecord> matching = this.records.values()
			.stream()
			.filter((record) -> record.key().startsWith(prefix))
			.toList();
		return new StoreListing(matching, this.lastIndex);
	}

	private synchronized StoreListing awaitChange(String prefix, long index, Duration wait) {
		long deadlineNanos = System.nanoTime() + wait.toNanos();
		while (this.lastIndex <= index) {
			long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
			if (remainingMillis <= 0) {
				break;
			}
			waitMillis(remainingMillis);
		}
		return listRecords(prefix);
	}

	private synchronized void waitMillis(long millis) {
		try {
			wait(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new RouterException(ErrorKind.STORE_UNAVAILABLE, "interrupted while waiting for a change", ex);
		}
	}

	private synchronized WriteResult apply(String key, byte @Nullable [] value, long version) {
		StoreRecord current = this.records.get(key);
		if (((current != null) ? current.version() : 0) != version) {
			return WriteResult.CONFLICT;
		}
		this.lastIndex++;
		if (value != null) {
			this.records.put(key, new StoreRecord(key, value, this.lastIndex));
		}
		else {
			this.records.remove(key);
		}
		notifyAll();
		return WriteResult.APPLIED;
	}

}
