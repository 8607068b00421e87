package org.cyclamenstall.internal.catalogue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.apache.commons.codec.digest.MurmurHash3;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cyclamenstall.catalogue.Catalogue;
import org.cyclamenstall.catalogue.CatalogueRecord;
import org.cyclamenstall.catalogue.CatalogueReplica;
import org.cyclamenstall.catalogue.CatalogueSummary;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the catalogue in memory. The record of each entry is replaced only by a later
 * one. Listeners are called under the lock of the replica, so that they see snapshots in
 * order of revision; they must return quickly and must not offer records. Thread-safe.
 */
public final class LocalCatalogue implements CatalogueReplica {

	private static final Logger logger = LogManager.getLogger(LocalCatalogue.class);

	private final List<Consumer<Catalogue>> listeners = new CopyOnWriteArrayList<>();

	private final Counter records;

	private volatile State state = new State(Catalogue.EMPTY, new CatalogueSummary(0, 0), false);

	private volatile long confirmedAt = System.nanoTime();

	/**
	 * Creates a replica that holds nothing.
	 * @param metrics where the counters are registered
	 */
	public LocalCatalogue(PrometheusRegistry metrics) {
		this.records = Counter.builder()
			.name("cyclamenstall_catalogue_offered_records_total")
			.help("Records offered to the replica by source and result")
			.labelNames("source", "result")
			.register(metrics);
		gauge(metrics, "cyclamenstall_catalogue_revision", "Revision of the catalogue in force",
				() -> this.state.summary().revision());
		gauge(metrics, "cyclamenstall_catalogue_records", "Records of the catalogue, tombstones included",
				() -> this.state.catalogue().records().size());
		gauge(metrics, "cyclamenstall_catalogue_age_seconds", "Time since a source last offered records",
				() -> (System.nanoTime() - this.confirmedAt) / 1e9);
	}

	@Override
	public Catalogue current() {
		return this.state.catalogue();
	}

	@Override
	public void addListener(Consumer<Catalogue> listener) {
		this.listeners.add(listener);
	}

	@Override
	public boolean isLoaded() {
		return this.state.loaded();
	}

	@Override
	public CatalogueSummary summary() {
		return this.state.summary();
	}

	@Override
	public List<CatalogueRecord> recordsAfter(long revision) {
		return this.state.catalogue()
			.records()
			.stream()
			.filter((record) -> record.revision() > revision)
			.sorted(Comparator.comparingLong(CatalogueRecord::revision))
			.toList();
	}

	@Override
	public synchronized int offer(Collection<CatalogueRecord> offered, String source) {
		this.confirmedAt = System.nanoTime();
		State before = this.state;
		List<CatalogueRecord> newer = newerRecords(offered, before.catalogue(), source);
		if (newer.isEmpty() && before.loaded()) {
			return 0;
		}
		State after = before.with(newer);
		this.state = after;
		if (!newer.isEmpty()) {
			logger.info("Catalogue revision {} is in force, {} newer records from {}", after.summary().revision(),
					newer.size(), source);
		}
		notifyListeners(after.catalogue());
		return newer.size();
	}

	private List<CatalogueRecord> newerRecords(Collection<CatalogueRecord> offered, Catalogue held, String source) {
		List<CatalogueRecord> newer = new ArrayList<>();
		int older = 0;
		for (CatalogueRecord record : offered) {
			@Nullable CatalogueRecord current = held.record(record.name()).orElse(null);
			int order = (current != null) ? RecordOrder.BY_AGE.compare(record, current) : 1;
			if (order > 0) {
				newer.add(record);
			}
			else if (order < 0) {
				older++;
				logger.info("Refused record {} at revision {} from {}: revision {} is in force", record.name(),
						record.revision(), source, (current != null) ? current.revision() : 0);
			}
		}
		String kind = source.split(" ", 2)[0];
		this.records.labelValues(kind, "newer").inc(newer.size());
		this.records.labelValues(kind, "refused-older").inc(older);
		return newer;
	}

	private void notifyListeners(Catalogue catalogue) {
		for (Consumer<Catalogue> listener : this.listeners) {
			try {
				listener.accept(catalogue);
			}
			catch (RuntimeException ex) {
				logger.error("A catalogue listener failed", ex);
			}
		}
	}

	private static void gauge(PrometheusRegistry metrics, String name, String help, DoubleSupplier value) {
		GaugeWithCallback.builder()
			.name(name)
			.help(help)
			.callback((callback) -> callback.call(value.getAsDouble()))
			.register(metrics);
	}

	/**
	 * Holds one state of the replica.
	 *
	 * @param catalogue the catalogue in force
	 * @param summary its summary
	 * @param loaded whether a source has given a catalogue
	 */
	private record State(Catalogue catalogue, CatalogueSummary summary, boolean loaded) {

		State with(List<CatalogueRecord> newer) {
			Map<String, CatalogueRecord> byName = new HashMap<>();
			this.catalogue.records().forEach((record) -> byName.put(record.name(), record));
			long digest = this.summary.digest();
			for (CatalogueRecord record : newer) {
				CatalogueRecord replaced = byName.get(record.name());
				if (replaced != null && !RecordOrder.isLater(record, replaced)) {
					continue;
				}
				byName.put(record.name(), record);
				digest += hash(record) - ((replaced != null) ? hash(replaced) : 0);
			}
			Catalogue next = new Catalogue(byName);
			return new State(next, new CatalogueSummary(next.revision(), digest), true);
		}

		private static long hash(CatalogueRecord record) {
			String text = record.name() + '\n' + record.revision() + '\n' + record.editId();
			return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
		}

	}

}
