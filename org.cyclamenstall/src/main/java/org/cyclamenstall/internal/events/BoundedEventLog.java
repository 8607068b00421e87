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
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.kernel.Service;
import org.jspecify.annotations.Nullable;

/**
 * Writes events on a thread of its own, so that a sink that stands still holds up nobody.
 * Each type has a rate; what exceeds it, or does not fit the queue, is left out, counted,
 * and told in one line a second. Thread-safe.
 */
public final class BoundedEventLog implements EventLog, Service {

	private static final int QUEUE_LENGTH = 2_048;

	private static final int EVENTS_PER_SECOND_AND_TYPE = 100;

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	private static final long FLUSH_MILLIS = 200;

	private final BlockingQueue<Event> queue = new ArrayBlockingQueue<>(QUEUE_LENGTH);

	private final Map<Class<?>, TypeRate> rates = new ConcurrentHashMap<>();

	private final EventFormat format = new EventFormat();

	private final Consumer<String> sink;

	private final MonotonicClock clock;

	private final Counter leftOut;

	private volatile boolean closed;

	private @Nullable Thread writer;

	/**
	 * Creates a log.
	 * @param sink takes the fields of each event as JSON, without braces; may block
	 * @param clock the monotonic clock
	 * @param registry takes the counter of events that are left out
	 */
	public BoundedEventLog(Consumer<String> sink, MonotonicClock clock, PrometheusRegistry registry) {
		this.sink = sink;
		this.clock = clock;
		this.leftOut = Counter.builder()
			.name("cyclamenstall_events_left_out_total")
			.help("Events that were not logged because there were too many, by type.")
			.labelNames("type")
			.register(registry);
	}

	@Override
	public void start() {
		Thread started = new Thread(this::write, "event-log");
		started.setDaemon(true);
		this.writer = started;
		started.start();
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
		TypeRate rate = this.rates.computeIfAbsent(event.getClass(), (type) -> new TypeRate(event.type()));
		if (!rate.allows(this.clock.nanoTime() / NANOS_PER_SECOND) || !this.queue.offer(event)) {
			rate.leftOut.incrementAndGet();
			this.leftOut.labelValues(rate.type).inc();
		}
	}

	private void write() {
		while (!this.closed) {
			try {
				Event event = this.queue.poll(1, TimeUnit.SECONDS);
				if (event != null) {
					this.sink.accept(this.format.fields(event));
					// Waiting a little lets several events share one wake-up.
					drain();
					Thread.sleep(FLUSH_MILLIS);
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				this.closed = true;
			}
			tellLeftOut();
		}
		drain();
	}

	private void drain() {
		for (Event event = this.queue.poll(); event != null; event = this.queue.poll()) {
			this.sink.accept(this.format.fields(event));
		}
	}

	private void tellLeftOut() {
		for (TypeRate rate : this.rates.values()) {
			long count = rate.leftOut.getAndSet(0);
			if (count > 0) {
				this.sink.accept(this.format.fields(new Event.EventsLeftOut(rate.type, count)));
			}
		}
	}

	/**
	 * Bounds the events of one type in each second. Thread-safe.
	 */
	private static final class TypeRate {

		private final AtomicLong leftOut = new AtomicLong();

		private final String type;

		private long second;

		private int count;

		TypeRate(String type) {
			this.type = type;
		}

		synchronized boolean allows(long now) {
			if (now != this.second) {
				this.second = now;
				this.count = 0;
			}
			this.count++;
			return this.count <= EVENTS_PER_SECOND_AND_TYPE;
		}

	}

}
