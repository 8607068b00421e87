/**
 * Metering of the requests of each client account over all daemons, and the reports of
 * the usage in each window.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.metering;
