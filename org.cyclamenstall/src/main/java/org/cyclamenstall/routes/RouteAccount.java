package org.cyclamenstall.routes;

import java.util.Set;

import org.cyclamenstall.catalogue.CatalogueEntry;
import org.jspecify.annotations.Nullable;

/**
 * Joins a client account with its API keys in clear text and its rank. Immutable.
 *
 * @param entry the account entry
 * @param apiKeys the API keys
 * @param priority the rank of its requests, which goes before that of the route, or
 * {@code null} if the route's counts
 */
public record RouteAccount(CatalogueEntry entry, Set<String> apiKeys, @Nullable Integer priority) {

	@Override
	public String toString() {
		return "RouteAccount[" + this.entry.name() + ", " + this.apiKeys.size() + " keys]";
	}

}
