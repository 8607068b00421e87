/**
 * Loads the active routes from the configuration store.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.routes;
