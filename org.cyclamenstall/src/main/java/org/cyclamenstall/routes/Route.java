package org.cyclamenstall.routes;

import org.cyclamenstall.catalogue.CatalogueEntry;

/**
 * A catalogue entry with the options of its route. Immutable.
 *
 * @param entry the entry, whose name is the name of the route
 * @param options the options by which requests are matched and processed
 */
public record Route(CatalogueEntry entry, RouteOptions options) {

}
