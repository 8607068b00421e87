package org.cyclamenstall.internal.events;

import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.cyclamenstall.events.Event;
import org.cyclamenstall.events.EventLog;
import org.cyclamenstall.internal.kernel.EssentialThread;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.kernel.Service;
import org.jspecify.annotations.Nullable;

/**
 * Writes events on a dedicated thread, so that a blocked sink does not block the threads
 * that record events. The rate of each event type is limited. Events that exceed the
 * limit or find the queue full are dropped and counted; their number is logged for each
 * type after each batch of events, or after a second without events. Thread-safe.
 */
public final class BoundedEventLog implements EventLog, Service {

	private static final int QUEUE_CAPACITY = 2_048;

	private static final int MAXIMUM_EVENTS_PER_TYPE_AND_SECOND = 100;

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	private static final long BATCH_DELAY_MILLIS = 200;

	private final BlockingQueue<Event> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);

	private final Map<Class<?>, TypeRateLimiter> rateLimiters = new ConcurrentHashMap<>();

	private final EventFormatter formatter = new EventFormatter();

	private final Consumer<String> sink;

	private final MonotonicClock clock;

	private final Counter dropped;

	private volatile boolean closed;

	private @Nullable Thread writer;

	/**
	 * Creates a log.
	 * @param sink the consumer of the fields of each event as JSON, without braces; may
	 * block
	 * @param clock the monotonic clock
	 * @param registry the metrics registry for the counter of dropped events
	 */
	public BoundedEventLog(Consumer<String> sink, MonotonicClock clock, PrometheusRegistry registry) {
		this.sink = sink;
		this.clock = clock;
		this.dropped = Counter.builder()
			.name("cyclamenstall_events_left_out_total")
			.help("Events dropped because of the rate limit or a full queue, by type.")
			.labelNames("type")
			.register(registry);
	}

	@Override
	public void start() {
		this.writer = EssentialThread.start("event-log", this::write, () -> this.closed);
	}

	@Override
	public void close() {
		this.closed = true;
		if (this.writer != null) {
			this.writer.interrupt();
		}
	}

	@Override
	public void record(Event event) {
		TypeRateLimiter rateLimiter = this.rateLimiters.computeIfAbsent(event.getClass(),
				(type) -> new TypeRateLimiter(event.type()));
		if (!rateLimiter.tryAcquire(this.clock.nanoTime() / NANOS_PER_SECOND) || !this.queue.offer(event)) {
			rateLimiter.dropped.incrementAndGet();
			this.dropped.labelValues(rateLimiter.type).inc();
		}
	}

	private void write() {
		while (!this.closed) {
			try {
				Event event = this.queue.poll(1, TimeUnit.SECONDS);
				if (event != null) {
					this.sink.accept(this.formatter.formatFields(event));
					drain();
					// Batches events, so that the thread wakes up less often.
					Thread.sleep(BATCH_DELAY_MILLIS);
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				this.closed = true;
			}
			reportDropped();
		}
		drain();
	}

	private void drain() {
		for (Event event = this.queue.poll(); event != null; event = this.queue.poll()) {
			this.sink.accept(this.formatter.formatFields(event));
		}
	}

	private void reportDropped() {
		for (TypeRateLimiter rateLimiter : this.rateLimiters.values()) {
			long count = rateLimiter.dropped.getAndSet(0);
			if (count > 0) {
				this.sink.accept(this.formatter.formatFields(new Event.EventsLeftOut(rateLimiter.type, count)));
			}
		}
	}

	/**
	 * Limits the events of one type in each second, and counts the dropped ones.
	 * Thread-safe.
	 */
	private static final class TypeRateLimiter {

		private final AtomicLong dropped = new AtomicLong();

		private final String type;

		private long countedSecond;

		private int eventsInSecond;

		TypeRateLimiter(String type) {
			this.type = type;
		}

		synchronized boolean tryAcquire(long currentSecond) {
			if (currentSecond != this.countedSecond) {
				this.countedSecond = currentSecond;
				this.eventsInSecond = 0;
			}
			this.eventsInSecond++;
			return this.eventsInSecond <= MAXIMUM_EVENTS_PER_TYPE_AND_SECOND;
		}

	}

}
