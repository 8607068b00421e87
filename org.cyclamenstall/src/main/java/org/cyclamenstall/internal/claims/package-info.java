/**
 * Claims of requests with an idempotency key in the configuration store.
 */
@org.jspecify.annotations.NullMarked
package org.cyclamenstall.internal.claims;
