/**
 * Interface to the platform's key-value store.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.store;
