package org.cyclamenstall.test.catalogue;

import java.time.Duration;
import java.util.Set;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenstall.catalogue.CatalogueEntry;
import org.cyclamenstall.catalogue.EntryKind;
import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.internal.catalogue.CatalogueEditCommand;
import org.cyclamenstall.internal.catalogue.CatalogueEditOutcome;
import org.cyclamenstall.internal.catalogue.CatalogueStore;
import org.cyclamenstall.internal.catalogue.CatalogueWatcher;
import org.cyclamenstall.internal.catalogue.LocalCatalogue;
import org.cyclamenstall.junit.InMemoryConfigurationStore;
import org.cyclamenstall.junit.StaticMembership;
import org.cyclamenstall.kernel.MonotonicClock;
import org.cyclamenstall.settings.StoreSettings;

/**
 * The catalogue components of one daemon, with a store shared between daemons.
 */
final class CatalogueHost {

	static final String PREFIX = "test";

	private static final UniformRandomProvider NO_JITTER = () -> 0;

	final PrometheusRegistry metrics = new PrometheusRegistry();

	final LocalCatalogue replica = new LocalCatalogue(this.metrics);

	final StaticMembership membership = new StaticMembership("host-1");

	final CatalogueStore catalogueStore;

	private final InMemoryConfigurationStore store;

	CatalogueHost(InMemoryConfigurationStore store) {
		this.store = store;
		this.catalogueStore = new CatalogueStore(store, PREFIX);
	}

	CatalogueEditCommand editCommand(String editId) {
		return new CatalogueEditCommand(this.catalogueStore, this.replica, this.membership, MonotonicClock.SYSTEM,
				NO_JITTER)
			.setEditId(editId)
			.setOperator("ana");
	}

	CatalogueEditOutcome put(String editId, CatalogueEntry entry) {
		return editCommand(editId).setEntry(entry).call();
	}

	CatalogueEditOutcome putWithin(Duration timeout, String editId, CatalogueEntry entry) {
		return editCommand(editId).setEntry(entry).setTimeout(timeout).call();
	}

	CatalogueWatcher createWatcher(MonotonicClock clock) {
		StoreSettings settings = new StoreSettings("consul", "127.0.0.1", 1, PREFIX, 1_000, 100);
		return new CatalogueWatcher(this.store, this.replica, this.membership, settings, this.metrics, clock,
				NO_JITTER);
	}

	String owner(String name) {
		return this.replica.current().entry(name).map(CatalogueEntry::owner).orElse("none");
	}

	static CatalogueEntry service(String name, String owner) {
		return new CatalogueEntry(name, EntryKind.SERVICE, owner, Tier.STANDARD, null, "ghiseu", null, null, null, null,
				"/" + name, Set.of("GET"), null, null, null, null);
	}

}
