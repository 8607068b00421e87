package org.cyclamenstall.standin.site;

/**
 * The names used in a site. Immutable.
 *
 * @param region the name of the region, also the prefix of the failure domain names
 * @param host the prefix of the host names of the daemons
 */
public record SiteNames(String region, String host) {
}
