package org.cyclamenstall.standin.site;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.apache.commons.codec.digest.DigestUtils;

/**
 * Holds one deployment of the demonstration. Immutable.
 *
 * @param account the name of its client account
 * @param apiKey the API key of the account
 * @param chatEntry the name of its model entry
 * @param model the model that the entry serves
 * @param serviceEntry the name of its service entry
 * @param pathPrefix the path prefix that the entry serves
 */
record DemoDeployment(String account, String apiKey, String chatEntry, String model, String serviceEntry,
		String pathPrefix) {

	static List<DemoDeployment> all() {
		return List.of(
				new DemoDeployment("paine-pe-drum", "demo-key-paine", "paine-driver-chat", "driver-chat",
						"paine-orders", "/orders"),
				new DemoDeployment("atlas-balisage", "demo-key-atlas", "atlas-guide-chat", "guide-chat",
						"atlas-work-orders", "/work-orders"));
	}

	void putEntries(Site site) {
		site.putEntry(this.chatEntry, resource(this.chatEntry));
		site.putEntry(this.serviceEntry, resource(this.serviceEntry));
		site.putEntry(this.account, accountEntry());
	}

	private String accountEntry() {
		return """
				name: %s
				kind: account
				owner: %s
				class: interactive
				keyHashes: [%s]
				entries: [%s, %s]
				""".formatted(this.account, this.account, DigestUtils.sha256Hex(this.apiKey), this.chatEntry,
				this.serviceEntry);
	}

	private static String resource(String entry) {
		try (InputStream stream = DemoDeployment.class.getResourceAsStream(entry + ".yaml")) {
			if (stream == null) {
				throw new IllegalStateException("No entry " + entry);
			}
			return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
