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
 * Keeps the catalogue in memory. The record of an entry is replaced only by a later one.
 * Listeners are called while the lock of the replica is held, so that they receive
 * snapshots in order of revision; they must return quickly and must not offer records.
 * Thread-safe.
 */
public final class LocalCatalogue implements CatalogueReplica {

	private static final Logger logger = LogManager.getLogger(LocalCatalogue.class);

	private final List<Consumer<Catalogue>> listeners = new CopyOnWriteArrayList<>();

	private final Counter offeredRecords;

	private volatile State state = new State(Catalogue.EMPTY, new CatalogueSummary(0, 0), false);

	private volatile long lastOfferNanos = System.nanoTime();

	/**
	 * Creates an empty replica.
	 * @param metrics the metrics registry
	 */
	public LocalCatalogue(PrometheusRegistry metrics) {
		this.offeredRecords = Counter.builder()
			.name("cyclamenstall_catalogue_offered_records_total")
			.help("Records offered to the replica, by source and result")
			.labelNames("source", "result")
			.register(metrics);
		registerGauge(metrics, "cyclamenstall_catalogue_revision", "Revision of the active catalogue",
				() -> this.state.summary().revision());
		registerGauge(metrics, "cyclamenstall_catalogue_records", "Records of the catalogue, tombstones included",
				() -> this.state.catalogue().records().size());
		registerGauge(metrics, "cyclamenstall_catalogue_age_seconds", "Time since a source last offered records",
				() -> (System.nanoTime() - this.lastOfferNanos) / 1e9);
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
		this.lastOfferNanos = System.nanoTime();
		State before = this.state;
		List<CatalogueRecord> newer = selectNewer(offered, before.catalogue(), source);
		if (newer.isEmpty() && before.loaded()) {
			return 0;
		}
		State after = before.withRecords(newer);
		this.state = after;
		if (!newer.isEmpty()) {
			logger.info("Catalogue revision {} is active, {} newer records from {}", after.summary().revision(),
					newer.size(), source);
		}
		notifyListeners(after.catalogue());
		return newer.size();
	}

	/**
	 * Selects the offered records that are newer than the active ones. Counts them and
	 * the older ones in the metrics, and logs the older ones.
	 * @param offered the offered records
	 * @param active the active catalogue
	 * @param source the source of the records
	 * @return the newer records
	 */
	private List<CatalogueRecord> selectNewer(Collection<CatalogueRecord> offered, Catalogue active, String source) {
		List<CatalogueRecord> newer = new ArrayList<>();
		int olderCount = 0;
		for (CatalogueRecord record : offered) {
			@Nullable CatalogueRecord current = active.record(record.name()).orElse(null);
			int comparison = (current != null) ? RecordOrder.BY_REVISION.compare(record, current) : 1;
			if (comparison > 0) {
				newer.add(record);
			}
			else if (comparison < 0) {
				olderCount++;
				logger.info("Rejected record {} at revision {} from {}: revision {} is active", record.name(),
						record.revision(), source, (current != null) ? current.revision() : 0);
			}
		}
		String sourceType = source.split(" ", 2)[0];
		this.offeredRecords.labelValues(sourceType, "newer").inc(newer.size());
		this.offeredRecords.labelValues(sourceType, "refused-older").inc(olderCount);
		return newer;
	}

	private void notifyListeners(Catalogue catalogue) {
		for (Consumer<Catalogue> listener : this.listeners) {
			try {
				listener.accept(catalogue);
			}
			catch (RuntimeException ex) {
				logger.error("Catalogue listener failed", ex);
			}
		}
	}

	private static void registerGauge(PrometheusRegistry metrics, String name, String help, DoubleSupplier value) {
		GaugeWithCallback.builder()
			.name(name)
			.help(help)
			.callback((callback) -> callback.call(value.getAsDouble()))
			.register(metrics);
	}

	/**
	 * An immutable state of the replica.
	 *
	 * @param catalogue the active catalogue
	 * @param summary the summary of the catalogue
	 * @param loaded whether the replica has been loaded from any source
	 */
	private record State(Catalogue catalogue, CatalogueSummary summary, boolean loaded) {

		State withRecords(List<CatalogueRecord> newer) {
			Map<String, CatalogueRecord> byName = new HashMap<>();
			this.catalogue.records().forEach((record) -> byName.put(record.name(), record));
			long digest = this.summary.digest();
			for (CatalogueRecord record : newer) {
				CatalogueRecord replacedRecord = byName.get(record.name());
				if (replacedRecord != null && !RecordOrder.isNewer(record, replacedRecord)) {
					continue;
				}
				byName.put(record.name(), record);
				digest += hash(record) - ((replacedRecord != null) ? hash(replacedRecord) : 0);
			}
			Catalogue newCatalogue = new Catalogue(byName);
			return new State(newCatalogue, new CatalogueSummary(newCatalogue.revision(), digest), true);
		}

		private static long hash(CatalogueRecord record) {
			String text = record.name() + '\n' + record.revision() + '\n' + record.editId();
			return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
		}

	}

}
