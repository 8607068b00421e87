/**
 * The adapter of the platform's key-value service.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.store;
