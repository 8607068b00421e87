/**
 * The interface to the platform's key-value service.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.store;
