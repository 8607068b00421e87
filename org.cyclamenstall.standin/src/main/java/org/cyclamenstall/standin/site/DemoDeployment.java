package org.cyclamenstall.standin.site;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.cyclamenstall.internal.yaml.YamlDocuments;

/**
 * An example deployment of the demonstration. Immutable.
 *
 * @param name the name of its directory below the examples directory
 * @param account the name of its client account
 * @param model the name of its model, which is also the name of the catalogue entry
 * @param bookingEntry the name of the catalogue entry for bookings
 * @param bookingPath the request path of bookings
 * @param lookUpEntry the name of the catalogue entry for lookups
 * @param lookUpPath the path prefix of lookups
 */
record DemoDeployment(String name, String account, String model, String bookingEntry, String bookingPath,
		String lookUpEntry, String lookUpPath) {

	private static final String KEY_PREFIX = "example-key-";

	static List<DemoDeployment> all() {
		return List.of(
				new DemoDeployment("paine-pe-drum", "depot-cluj", "driver-chat", "bookings", "/bookings",
						"stock-lookups", "/stock"),
				new DemoDeployment("atlas-balisage", "crews-north", "guide-chat", "work-orders", "/work-orders",
						"status-lookups", "/status"));
	}

	String apiKey() {
		return KEY_PREFIX + this.account;
	}

	void putEntries(Site site, Path examples) {
		List<String> documents = YamlDocuments.split(read(examples.resolve(this.name).resolve("catalogue.yaml")));
		for (String entry : List.of(this.model, this.bookingEntry, this.lookUpEntry, this.account)) {
			site.putEntry(entry, findDocument(documents, entry));
		}
	}

	private String findDocument(List<String> documents, String entry) {
		return documents.stream()
			.filter((document) -> document.lines().anyMatch(("name: " + entry)::equals))
			.findFirst()
			.orElseThrow(() -> new IllegalStateException(
					"Entry " + entry + " not found in the catalogue of example " + this.name));
	}

	private static String read(Path file) {
		try {
			return Files.readString(file);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
