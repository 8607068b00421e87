package org.cyclamenstall.routes;

import org.cyclamenstall.catalogue.CatalogueEntry;

/**
 * Joins a catalogue entry with the terms of its route. Immutable.
 *
 * @param entry the entry, whose name is the route's
 * @param terms how its requests are matched and served
 */
public record Route(CatalogueEntry entry, RouteTerms terms) {

}
