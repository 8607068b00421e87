package org.cyclamenstall.standin.site;

/**
 * Holds the names of a site. Immutable.
 *
 * @param region the region; failure domains are named after it
 * @param host the beginning of the names of the daemons' hosts
 */
public record SiteNames(String region, String host) {
}
