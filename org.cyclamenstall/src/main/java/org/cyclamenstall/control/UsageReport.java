package org.cyclamenstall.control;

import java.util.Map;

/**
 * Reports the usage of one window. Immutable.
 *
 * @param window the number of the window
 * @param requestsByAccount the requests that upstreams began in the window, by the name
 * of the client account
 */
public record UsageReport(long window, Map<String, Long> requestsByAccount) {

}
