package org.cyclamenstall.standin.site;

/**
 * Holds the names of a site. Immutable.
 *
 * @param region the region; failure domains are named after it
 * @param host the beginning of the names of the daemons' hosts
 * @param engineService the service of the engines in the host list
 * @param plainService the service of the plain services in the host list
 */
public record SiteNames(String region, String host, String engineService, String plainService) {

	/** Holds the names of a site for tests. */
	public static final SiteNames SMALL = new SiteNames("ro-central", "entry", "cuptor", "ghiseu");

}
