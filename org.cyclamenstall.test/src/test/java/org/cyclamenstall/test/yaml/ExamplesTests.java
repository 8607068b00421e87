package org.cyclamenstall.test.yaml;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

import org.cyclamenstall.catalogue.Catalogue;
import org.cyclamenstall.catalogue.CatalogueEntry;
import org.cyclamenstall.catalogue.CatalogueRecord;
import org.cyclamenstall.catalogue.EntryKind;
import org.cyclamenstall.catalogue.Tier;
import org.cyclamenstall.errors.ErrorKind;
import org.cyclamenstall.internal.catalogue.CatalogueValidator;
import org.cyclamenstall.internal.yaml.CheckedYamlReader;
import org.cyclamenstall.internal.yaml.FieldError;
import org.cyclamenstall.internal.yaml.YamlDocuments;
import org.cyclamenstall.settings.DaemonSettings;
import org.cyclamenstall.settings.PeerAddress;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

/**
 * Tests of the example deployments in the examples folder.
 */
class ExamplesTests {

	private static Path example(String name) {
		Path root = Path.of("").toAbsolutePath();
		while (!Files.isDirectory(root.resolve("examples"))) {
			root = root.getParent();
		}
		return root.resolve("examples").resolve(name);
	}

	@Nested
	class EveryDeployment {

		@ParameterizedTest
		@ValueSource(strings = { "paine-pe-drum", "atlas-balisage" })
		void hasSettingsOfFiveHostsThatListEachOther(String name) throws IOException {
			CheckedYamlReader reader = new CheckedYamlReader(ErrorKind.SETTINGS_INVALID);
			List<DaemonSettings> settings;
			try (Stream<Path> files = Files.list(example(name).resolve("settings"))) {
				settings = files.map((file) -> reader.read(file, DaemonSettings.class)).toList();
			}
			Set<String> hosts = new HashSet<>();
			Set<String> failureDomains = new HashSet<>();
			for (DaemonSettings daemon : settings) {
				hosts.add(daemon.host());
				failureDomains.add(daemon.failureDomain());
			}
			assertThat(hosts.size(), is(5));
			assertThat(failureDomains.size(), is(4));
			for (DaemonSettings daemon : settings) {
				Set<String> seedsAndSelf = new HashSet<>(Set.of(daemon.host()));
				daemon.peers().seeds().stream().map(PeerAddress::host).forEach(seedsAndSelf::add);
				assertThat(seedsAndSelf, equalTo(hosts));
			}
		}

		@ParameterizedTest
		@ValueSource(strings = { "paine-pe-drum", "atlas-balisage" })
		void hasACatalogueWithoutErrorsOrWarnings(String name) {
			CheckedYamlReader reader = new CheckedYamlReader(ErrorKind.CATALOGUE_INVALID);
			Path file = example(name).resolve("catalogue.yaml");
			Map<String, CatalogueRecord> records = new HashMap<>();
			List<FieldError> errors = new ArrayList<>();
			Set<Tier> tiers = new HashSet<>();
			for (String document : YamlDocuments.split(reader.readText(file))) {
				CatalogueEntry entry = reader.read(document, file.toString(), CatalogueEntry.class);
				errors.addAll(CatalogueValidator.validate(entry, new Catalogue(records)));
				records.put(entry.name(),
						new CatalogueRecord(entry.name(), records.size() + 1, "edit", "ana", 0, entry));
				tiers.add(entry.tier());
			}
			Catalogue catalogue = new Catalogue(records);
			assertThat(errors, is(empty()));
			assertThat(tiers.size(), is(3));
			assertThat(count(catalogue, EntryKind.ACCOUNT), is(10L));
			for (CatalogueRecord record : catalogue.records()) {
				assertThat(CatalogueValidator.warnings(catalogue.entry(record.name()).orElseThrow(), catalogue),
						is(empty()));
			}
		}

		private long count(Catalogue catalogue, EntryKind kind) {
			return catalogue.records()
				.stream()
				.filter((record) -> catalogue.entry(record.name()).orElseThrow().kind() == kind)
				.count();
		}

	}

}
