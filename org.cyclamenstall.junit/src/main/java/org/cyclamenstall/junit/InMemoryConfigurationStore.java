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
 * Keeps records in memory and injects faults into its calls. A fault is chosen by, in
 * this order, the queue of the operation, the plan, and the fault of the operation.
 * Versions grow with every write of any record and are never used twice, also not after
 * {@link #restore}. Thread-safe; the hooks run outside the lock and may call the store.
 */
public final class InMemoryConfigurationStore implements ConfigurationStore {

	private final Map<String, StoreRecord> records = new TreeMap<>();

	private final Map<StoreOperation, Deque<StoreFault>> queuedFaults = new EnumMap<>(StoreOperation.class);

	private final Map<StoreOperation, StoreFault> standingFaults = new EnumMap<>(StoreOperation.class);

	private final List<Supplier<WriteResult>> lateWrites = new ArrayList<>();

	private final List<StoreCall> calls = new ArrayList<>();

	private Function<StoreCall, StoreFault> plan = (call) -> StoreFault.NONE;

	private Consumer<StoreCall> beforeEffect = (call) -> {
	};

	private Consumer<StoreCall> afterEffect = (call) -> {
	};

	private long lastIndex;

	@Override
	public Optional<StoreRecord> get(String key, StorePriority priority) {
		return read(StoreOperation.GET, key, () -> Optional.ofNullable(this.records.get(key)));
	}

	@Override
	public StoreListing list(String prefix, StorePriority priority) {
		return read(StoreOperation.LIST, prefix, () -> listing(prefix));
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
	 * Lets the next call of an operation fail, after those queued before.
	 * @param operation the operation
	 * @param fault the fault, which may be {@link StoreFault#NONE}
	 */
	public synchronized void queueFault(StoreOperation operation, StoreFault fault) {
		this.queuedFaults.computeIfAbsent(operation, (any) -> new ArrayDeque<>()).add(fault);
	}

	/**
	 * Lets every call of an operation fail until this is called again.
	 * @param operation the operation
	 * @param fault the fault, which may be {@link StoreFault#NONE}
	 */
	public synchronized void setFault(StoreOperation operation, StoreFault fault) {
		this.standingFaults.put(operation, fault);
	}

	/**
	 * Lets every call of every operation fail until this is called again.
	 * @param fault the fault, which may be {@link StoreFault#NONE}
	 */
	public synchronized void setFault(StoreFault fault) {
		for (StoreOperation operation : StoreOperation.values()) {
			setFault(operation, fault);
		}
	}

	/**
	 * Sets the function that chooses a fault for each call.
	 * @param plan the function
	 */
	public synchronized void setPlan(Function<StoreCall, StoreFault> plan) {
		this.plan = plan;
	}

	/**
	 * Sets the hook that runs before a call reads or writes.
	 * @param hook the hook, which may block
	 */
	public synchronized void setBeforeEffect(Consumer<StoreCall> hook) {
		this.beforeEffect = hook;
	}

	/**
	 * Sets the hook that runs after a call read or wrote, before it returns.
	 * @param hook the hook, which may block
	 */
	public synchronized void setAfterEffect(Consumer<StoreCall> hook) {
		this.afterEffect = hook;
	}

	/**
	 * Lets the writes that were held back by {@link StoreFault#EFFECT_LATE} arrive now,
	 * in their order.
	 */
	public synchronized void applyLateWrites() {
		this.lateWrites.forEach(Supplier::get);
		this.lateWrites.clear();
	}

	/**
	 * Returns the calls since the store was created.
	 * @return the calls in their order
	 */
	public synchronized List<StoreCall> calls() {
		return List.copyOf(this.calls);
	}

	/**
	 * Returns the records without any fault and without counting a call.
	 * @return the records, ordered by key
	 */
	public synchronized List<StoreRecord> snapshot() {
		return List.copyOf(this.records.values());
	}

	/**
	 * Puts the store back to an older state, as from a backup.
	 * @param older the records as returned by {@link #snapshot()}
	 */
	public synchronized void restore(List<StoreRecord> older) {
		this.records.clear();
		older.forEach((record) -> apply(record.key(), record.value(), 0));
		this.lastIndex++;
		notifyAll();
	}

	private <T> T read(StoreOperation operation, String key, Supplier<T> reader) {
		StoreCall call = count(operation, key);
		StoreFault fault = nextFault(call);
		hook(true).accept(call);
		if (fault != StoreFault.NONE && fault != StoreFault.CONFLICT) {
			throw new RouterException(ErrorKind.STORE_UNAVAILABLE, "Injected " + fault + " on " + operation);
		}
		T result;
		synchronized (this) {
			result = reader.get();
		}
		hook(false).accept(call);
		return result;
	}

	private WriteResult write(StoreOperation operation, String key, Supplier<WriteResult> writer) {
		StoreCall call = count(operation, key);
		StoreFault fault = nextFault(call);
		hook(true).accept(call);
		WriteResult result = applyWithFault(fault, writer);
		hook(false).accept(call);
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
			case ANSWER_LOST -> {
				writer.get();
				return WriteResult.UNKNOWN;
			}
			case EFFECT_LATE -> {
				this.lateWrites.add(writer);
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

	private synchronized StoreCall count(StoreOperation operation, String key) {
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
		StoreFault planned = this.plan.apply(call);
		return (planned != StoreFault.NONE) ? planned
				: this.standingFaults.getOrDefault(call.operation(), StoreFault.NONE);
	}

	private synchronized Consumer<StoreCall> hook(boolean before) {
		return before ? this.beforeEffect : this.afterEffect;
	}

	private synchronized StoreListing listing(String prefix) {
		List<StoreRecord> found = this.records.values()
			.stream()
			.filter((record) -> record.key().startsWith(prefix))
			.toList();
		return new StoreListing(found, this.lastIndex);
	}

	private synchronized StoreListing awaitChange(String prefix, long index, Duration wait) {
		long end = System.nanoTime() + wait.toNanos();
		while (this.lastIndex <= index) {
			long remainingMillis = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
			if (remainingMillis <= 0) {
				break;
			}
			waitMillis(remainingMillis);
		}
		return listing(prefix);
	}

	private synchronized void waitMillis(long millis) {
		try {
			wait(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new RouterException(ErrorKind.STORE_UNAVAILABLE, "Interrupted", ex);
		}
	}

	private synchronized WriteResult apply(String key, byte @Nullable [] value, long version) {
		StoreRecord present = this.records.get(key);
		if (((present != null) ? present.version() : 0) != version) {
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
