package org.cyclamenstall.routes;

import java.util.Set;

import org.cyclamenstall.catalogue.CatalogueEntry;
import org.jspecify.annotations.Nullable;

/**
 * A client account with its API keys in plain text and its priority. Immutable.
 *
 * @param entry the account entry
 * @param apiKeys the API keys
 * @param priority the priority of its requests, which takes precedence over that of the
 * route, or {@code null} to use the priority of the route
 */
public record RouteAccount(CatalogueEntry entry, Set<String> apiKeys, @Nullable Integer priority) {

	@Override
	public String toString() {
		return "RouteAccount[" + this.entry.name() + ", " + this.apiKeys.size() + " keys]";
	}

}
