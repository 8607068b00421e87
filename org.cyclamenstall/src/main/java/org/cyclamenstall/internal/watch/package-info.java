/**
 * Watching of the configuration store: its records and changes, its outages, and the
 * staleness of the last confirmed state.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.watch;
